package mcgateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"marigoldcroft"
)

// joinKey returns a key that is equal for requests that may share one answer, or an empty
// string. Idempotent requests with the same idempotency key may; without such a key, equal
// bodies have equal answers only if the request is deterministic. The template's name
// separates the keys of different templates.
func (r *modelRequest) joinKey() string {
	switch {
	case r.peerJoinKey != "":
		return r.peerJoinKey
	case !r.idempotent():
		return ""
	case r.key != "":
		return strings.Join([]string{r.team.Name(), r.template.Name(), "key", r.key}, "\x00")
	case r.deterministic():
		sum := sha256.Sum256(r.canonical)
		return strings.Join([]string{r.team.Name(), r.template.Name(), "body", hex.EncodeToString(sum[:])}, "\x00")
	}
	return ""
}

func (r *modelRequest) idempotent() bool {
	return r.template.Repeat() == marigoldcroft.RepeatIdempotent
}

// deterministic reports whether two engines give the same answer.
func (r *modelRequest) deterministic() bool {
	return r.seed != nil && r.temperature != nil && *r.temperature == 0
}
