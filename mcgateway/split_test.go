package mcgateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// Guards against a split that loses text between segments, runs more of them at once than
// allowed, fails the request for one segment that can be tried again, includes a partial
// answer, or outlives its deadline.
func TestSplit(t *testing.T) {
	const capacity = 2000
	content := strings.Repeat("0123456789é", 2000)
	ask := `{"model":"dossier","max_tokens":100,"messages":[{"role":"system","content":"Rules."},{"role":"user","content":"` + content + `"}]}`
	for name, c := range map[string]struct {
		script map[string][]string
		ask    string
		text   string
		code   mcgateway.Code
		notRun bool
	}{
		"complete":                  {map[string][]string{"a": {"~ whole"}}, ask, "whole", "", false},
		"segment refused":           {map[string][]string{"a": {"!!refused", "~ whole"}, "b": {"~ whole"}}, ask, "whole", "", false},
		"segment breaks":            {map[string][]string{"a": {"part !answer_of_another_stream", "~ whole"}, "b": {"~ whole"}}, ask, "whole", "", false},
		"segment fails permanently": {map[string][]string{"a": {"!answer_of_another_stream"}}, ask, "", mcgateway.CodeUpstreamFailed, false},
		"hangs":                     {map[string][]string{"a": {"..."}}, ask, "", mcgateway.CodeDeadline, false},
		"no endpoint reachable":     {map[string][]string{"a": {"!!unreachable"}}, ask, "", mcgateway.CodeOverloaded, true},
		"template refuses":          {map[string][]string{"a": {"whole"}}, strings.Replace(ask, "dossier", "caption", 1), "", mcgateway.CodeTooLarge, true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, run func(*testGateway) *testGateway) {
				b := newTestGateway(c.script)
				b.LargestEngineTokens = func(string) int64 { return capacity }
				begun := time.Now()
				w := run(b).chat(t.Context(), c.ask)
				require.LessOrEqual(t, time.Since(begun), time.Minute)
				b.Wait()
				require.Empty(t, b.scheduler.held)
				require.LessOrEqual(t, b.scheduler.maxHeld, 3)
				if c.code != "" {
					problem := decodeProblem(t, w.Body.String())
					require.Equal(t, c.code, problem.Code, problem.Message)
					require.Equal(t, c.notRun, problem.NotRun)
					return
				}
				require.Equal(t, c.text, text(w), w.Body)
				seen := make(map[string]bool)
				covered := 0
				for _, sent := range b.engine.sent[:len(b.engine.sent)-1] {
					require.Equal(t, "Rules.", sent.Messages[0].Content)
					part := sent.Messages[1].Content
					require.LessOrEqual(t, len(part)/4+sent.MaxOutputTokens, capacity)
					require.Contains(t, content, part)
					if !seen[part] {
						covered += len(part)
					}
					seen[part] = true
				}
				require.Greater(t, covered, len(content))
				last := b.engine.sent[len(b.engine.sent)-1].Messages
				require.Equal(t, "Combine.", last[0].Content)
				require.Equal(t, len(seen), strings.Count(last[1].Content, "whole"))
				require.NotContains(t, last[1].Content, "part")
			})
		})
	}
}
