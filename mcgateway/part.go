package mcgateway

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldcroft"
	"marigoldcroft/mcquarantine"
)

// quarantinedPart is the error of an attempt that was not sent because a message of its prompt
// is quarantined.
type quarantinedPart struct{ part mcquarantine.Fingerprint }

// Error names the quarantined message by its fingerprint.
func (e quarantinedPart) Error() string { return e.problem().Message }

func (e quarantinedPart) problem() *Problem {
	return notRun(CodeQuarantined, fmt.Sprintf("a message of this request crashed endpoints and requests with it are not run until quarantine %016x ends", uint64(e.part)))
}

// sharedParts returns the fingerprints of the messages that other prompts for the model may have
// in common with this one: all but the last.
func sharedParts(model string, messages []marigoldcroft.Message) []mcquarantine.Fingerprint {
	shared := messages[:max(0, len(messages)-1)]
	parts := make([]string, len(shared))
	for i, m := range shared {
		parts[i] = messagePart(m)
	}
	return mcquarantine.PartFingerprints(model, parts)
}

// messagePart returns what identifies the message as a part of a prompt.
func messagePart(m marigoldcroft.Message) string {
	return m.Role + "\x00" + strconv.FormatUint(xxhash.Sum64String(m.Content), 16)
}

// longestPart returns the fingerprints of the message that is split if the request is oversized, or
// none if it is not one of the shared parts.
func (r *modelRequest) longestPart() []mcquarantine.Fingerprint {
	part := mcquarantine.PartFingerprints(r.template.Model(), []string{messagePart(r.messages[r.longestMessage()])})
	if !slices.Contains(r.parts, part[0]) {
		return nil
	}
	return part
}

// checkQuarantine returns the problem of a request that is quarantined as a whole or contains a
// quarantined message.
func (g *Gateway) checkQuarantine(request *modelRequest) *Problem {
	if g.Quarantine == nil {
		return nil
	}
	if g.Quarantine.Check(time.Now(), request.fingerprint) == mcquarantine.VerdictQuarantined {
		return quarantinedProblem(request.fingerprint)
	}
	if part, quarantined := g.Quarantine.QuarantinedPart(time.Now(), request.parts); quarantined {
		return quarantinedPart{part}.problem()
	}
	return nil
}

// checkQuarantine returns an error if a message of the request was quarantined while the attempt
// waited, or errSuspected.
func (a *attempt) checkQuarantine() error {
	quarantine := a.run.gateway.Quarantine
	if quarantine == nil {
		return nil
	}
	if part, quarantined := quarantine.QuarantinedPart(time.Now(), a.run.request.parts); quarantined {
		return quarantinedPart{part}
	}
	switch quarantine.Check(time.Now(), a.run.request.fingerprint) {
	case mcquarantine.VerdictQuarantined:
		return errSuspected
	case mcquarantine.VerdictExclusive:
		if !a.isolated {
			return errSuspected
		}
	}
	return nil
}

// nearQuarantine reports whether another attempt could crash the last endpoint before a message
// of the request is quarantined.
func (r *run) nearQuarantine() bool {
	quarantine := r.gateway.Quarantine
	return quarantine != nil && quarantine.NearQuarantine(time.Now(), r.request.parts)
}
