package mcgateway

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"marigoldcroft"
)

// joinKey is the same for requests that may share one answer, or "". The caller's key
// says so itself; without one, the same body has the same answer only on a
// deterministic engine. The template's name keeps keys of different uses apart.
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

// deterministic tells whether two engines give the same answer.
func (r *modelRequest) deterministic() bool {
	return r.seed != nil && r.temperature != nil && *r.temperature == 0
}
