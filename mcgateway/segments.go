package mcgateway

import (
	"fmt"
	"math"
	"unicode/utf8"

	"marigoldcroft"
)

const (
	// overlapShare is the fraction of a segment that repeats the end of the previous one,
	// so that a sentence at a boundary is complete in one of them.
	overlapShare = 0.02
	// estimateMargin allows for an error of 35% in the token estimate, the bound stated at
	// defaultBytesPerToken. Segments are smaller by this factor, so that an engine does not
	// refuse one as too large.
	estimateMargin = 1.35
	// maxSegments bounds the work of one request. It allows the largest prompt, 2,000,000
	// tokens, on engines of 50,000.
	maxSegments = 64
	// minSegmentShare is the minimum fraction of the engine's memory that must be left
	// for a segment's text.
	minSegmentShare = 0.1
)

// isOversize reports whether the request exceeds the known memory of the model's largest
// engine.
func (g *Gateway) isOversize(r *modelRequest) bool {
	capacity := g.largestEngineTokens(r)
	return capacity > 0 && r.promptTokens+r.outputTokens > capacity
}

// awaitsEngineMemory reports whether the memory of the model's engines is not known yet, as in
// the first second after a start. The scheduler then assumes a size, and a request that is
// larger than that may still fit.
func (g *Gateway) awaitsEngineMemory(r *modelRequest) bool {
	return g.LargestEngineTokens != nil && g.largestEngineTokens(r) == 0
}

func (g *Gateway) largestEngineTokens(r *modelRequest) int64 {
	if g.LargestEngineTokens == nil {
		return 0
	}
	return g.LargestEngineTokens(r.template.Model())
}

// segments splits the longest message of the request into overlapping parts and repeats
// the other messages with each part.
func (g *Gateway) segments(r *modelRequest) ([][]marigoldcroft.Message, *Problem) {
	capacity := g.largestEngineTokens(r)
	if r.template.Oversize() != marigoldcroft.OversizeSplit {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: about %d tokens and %d of output, the largest engine holds %d", r.promptTokens, r.outputTokens, capacity))
	}
	longest := r.longestMessage()
	bytesPerToken := g.tokens.bytesPerToken(r.template.Model())
	text := r.messages[longest].Content
	segmentTokens := float64(capacity)/estimateMargin - float64(r.outputTokens) - float64(promptBytes(r.messages)-len(text))/bytesPerToken
	if segmentTokens < minSegmentShare*float64(capacity) {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: the part beside the longest message and the output leave no room for a segment in %d tokens", capacity))
	}
	parts := splitText(text, int(segmentTokens*bytesPerToken))
	if combined := int64(len(parts)) * r.outputTokens; len(parts) > maxSegments || float64(combined+r.outputTokens) > float64(capacity)/estimateMargin {
		return nil, notRun(CodeTooLarge, fmt.Sprintf("messages: %d segments with %d tokens of output each are over the limit of %d segments or one engine's memory", len(parts), r.outputTokens, maxSegments))
	}
	segments := make([][]marigoldcroft.Message, len(parts))
	for i, part := range parts {
		segments[i] = append([]marigoldcroft.Message(nil), r.messages...)
		segments[i][longest].Content = part
	}
	return segments, nil
}

// longestMessage returns the index of the message that is split if the request is oversized.
func (r *modelRequest) longestMessage() int {
	longest := 0
	for i, m := range r.messages {
		if len(m.Content) > len(r.messages[longest].Content) {
			longest = i
		}
	}
	return longest
}

// splitText returns overlapping parts of nearly equal size, none larger than limit bytes,
// that begin and end at rune boundaries.
func splitText(text string, limit int) []string {
	overlap := int(overlapShare * float64(limit))
	// Each part reserves the space by which its ends may move to rune boundaries.
	step := max(1, limit-overlap-2*utf8.UTFMax)
	n := max(1, int(math.Ceil(float64(len(text)-overlap)/float64(step))))
	size := (len(text)-overlap+n-1)/n + overlap
	parts := make([]string, 0, n)
	for i := range n {
		begin := i * (size - overlap)
		end := min(len(text), begin+size)
		parts = append(parts, text[runeBoundary(text, begin):runeBoundary(text, end)])
	}
	return parts
}

// runeBoundary returns the start of the rune that contains byte i.
func runeBoundary(text string, i int) int {
	for i > 0 && i < len(text) && !utf8.RuneStart(text[i]) {
		i--
	}
	return i
}
