package mcgateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldcroft"
)

const (
	bearerPrefix = "Bearer "
	maxKeyBytes  = 256
)

// KeyHash returns the form in which callers' keys are stored: SHA-256 in hex.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate finds the team of the bearer key. The key itself is never logged.
func (g *Gateway) authenticate(x *exchange) *Problem {
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" || len(key) > maxKeyBytes {
		return notRun(CodeUnauthorized, "header Authorization needs the form: Bearer KEY")
	}
	team, ok := x.config.TeamByKeyHash(KeyHash(key))
	if !ok {
		return notRun(CodeUnauthorized, "no team has this key")
	}
	x.team = team
	return nil
}

// selectTemplate returns the template that the caller names by header or by alias, or else
// the team's default template.
func selectTemplate(x *exchange, alias string) (marigoldcroft.Template, *Problem) {
	name := x.r.Header.Get(headerTemplate)
	if name == "" {
		name = alias
	}
	if name == "" {
		name = x.team.DefaultTemplate()
	}
	if !x.team.Allows(name) {
		return marigoldcroft.Template{}, notRun(CodeUnknownTemplate, "the team has no template "+strconv.Quote(name))
	}
	t, ok := x.config.Template(name)
	if !ok {
		return marigoldcroft.Template{}, notRun(CodeUnknownTemplate, "there is no template "+strconv.Quote(name))
	}
	return t, nil
}

// requestDeadline returns the deadline by the template, or an earlier one that the caller
// asks for.
func requestDeadline(header http.Header, start time.Time, t marigoldcroft.Template) (time.Time, *Problem) {
	limit := t.Deadline()
	if text := header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return time.Time{}, notRun(CodeBadRequest, "header "+headerDeadline+" needs a positive number of milliseconds")
		}
		limit = min(limit, time.Duration(min(ms, limit.Milliseconds()))*time.Millisecond)
	}
	return start.Add(limit), nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
