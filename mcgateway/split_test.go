package mcgateway_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marigoldcroft/mcgateway"
)

// TestSplit checks that the segments of an oversized request cover its whole text and each
// fit an engine, and that at most 3 run at once. A segment that can be tried again must not
// fail the request, a partial answer must not reach the combined prompt, and a hanging
// segment must not hold the request beyond its deadline.
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
				g := newTestGateway(c.script)
				g.LargestEngineTokens = func(string) int64 { return capacity }
				begun := time.Now()
				w := run(g).chat(t.Context(), c.ask)
				require.LessOrEqual(t, time.Since(begun), time.Minute)
				g.Wait()
				require.Empty(t, g.scheduler.held)
				require.LessOrEqual(t, g.scheduler.maxHeld, 3)
				if c.code != "" {
					problem := decodeProblem(t, w.Body.String())
					require.Equal(t, c.code, problem.Code, problem.Message)
					require.Equal(t, c.notRun, problem.NotRun)
					return
				}
				require.Equal(t, c.text, text(w), w.Body)
				seen := make(map[string]bool)
				covered := 0
				for _, sent := range g.engine.sent[:len(g.engine.sent)-1] {
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
				last := g.engine.sent[len(g.engine.sent)-1].Messages
				require.Equal(t, "Combine.", last[0].Content)
				require.Equal(t, len(seen), strings.Count(last[1].Content, "whole"))
				require.NotContains(t, last[1].Content, "part")
			})
		})
	}
}
