package mcquarantine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxQueryParts limits the parameters of a query that are parts of a request.
const maxQueryParts = 16

// RequestParts returns the fingerprints of what a request of the team to the service may share with
// others that differ in their query: the request without its query and, for each of the first parameters
// of the query, the request with that parameter alone. Crashes are attributed to them as to the parts of
// a prompt. target is the path and the query.
func RequestParts(service, team, method, target string, body []byte) []Fingerprint {
	path, query, _ := strings.Cut(target, "?")
	h := xxhash.New()
	// Writing to a hash never fails. The zero bytes separate the texts; three of them at the start
	// keep the input apart from those of other fingerprints.
	for _, text := range [...]string{"\x00\x00", service, team, method, path} {
		_, _ = h.WriteString(text + "\x00")
	}
	_, _ = h.Write(body)
	request := h.Sum64()
	parts := []Fingerprint{Fingerprint(request)}
	for parameter := range strings.SplitSeq(query, "&") {
		if parameter != "" && len(parts) <= maxQueryParts {
			parts = append(parts, parameterFingerprint(request, parameter))
		}
	}
	return parts
}

func parameterFingerprint(request uint64, parameter string) Fingerprint {
	h := xxhash.New()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte("\x00\x00\x00"), request))
	_, _ = h.WriteString(parameter)
	return Fingerprint(h.Sum64())
}
