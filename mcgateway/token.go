package mcgateway

import (
	"sync"

	"marigoldcroft"
)

const (
	// defaultBytesPerToken is the ratio until an engine has reported a token count; texts
	// differ from it by up to 35%.
	defaultBytesPerToken = 4.0
	// correctionGain is the weight of one engine count in the moving average of the
	// ratio.
	correctionGain = 0.05
	// minCountedTokens excludes short prompts from learning, as their fixed parts
	// dominate.
	minCountedTokens = 500
)

// tokenEstimator estimates prompt tokens from bytes and learns each model's ratio.
type tokenEstimator struct {
	mu                   sync.Mutex
	bytesPerTokenByModel map[string]float64
}

func (e *tokenEstimator) estimate(model string, messages []marigoldcroft.Message) int64 {
	return int64(float64(promptBytes(messages))/e.bytesPerToken(model)) + 1
}

func (e *tokenEstimator) bytesPerToken(model string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ratio, ok := e.bytesPerTokenByModel[model]; ok {
		return ratio
	}
	return defaultBytesPerToken
}

// learn updates the model's ratio from the token count of an engine.
func (e *tokenEstimator) learn(model string, bytes int, counted int) {
	if counted < minCountedTokens {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.bytesPerTokenByModel == nil {
		e.bytesPerTokenByModel = make(map[string]float64)
	}
	old, ok := e.bytesPerTokenByModel[model]
	if !ok {
		old = defaultBytesPerToken
	}
	e.bytesPerTokenByModel[model] = old + correctionGain*(float64(bytes)/float64(counted)-old)
}

func promptBytes(messages []marigoldcroft.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content)
	}
	return n
}
