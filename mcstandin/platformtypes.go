package mcstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// PlatformCall is a request in the form that callers of the platform send.
	PlatformCall struct {
		ID, Key    string
		Host, Path string
		Body       string
		TimeLimit  time.Duration
		// PromptTokens and OutputTokens are sent to engines; PromptTokens 0 leaves both out.
		PromptTokens, OutputTokens int
		// Parts are the IDs of the prompt's parts that other requests may share, in hexadecimal.
		// The last part, which belongs to the request alone, follows them.
		Parts []string
	}

	// PlatformEntry is the entry of a server of the platform in the metadata store.
	PlatformEntry struct {
		Service string `json:"service"`
		Address string `json:"address"`
		// DataCentre is the zone in the platform's JSON.
		DataCentre string `json:"zone"`
		Slots      int    `json:"batch-slots"`
		State      string `json:"state"`
		// Started is the Unix time in ms of the server's start.
		Started int64 `json:"born"`
		// ColdLeftMs is for how much longer the server is cold, in ms.
		ColdLeftMs int64 `json:"cold-left-ms,omitempty"`
	}

	// PlatformConfig is the configuration of the platform in the metadata store.
	PlatformConfig struct {
		Version  int               `json:"version"`
		Routes   []PlatformRoute   `json:"routes"`
		Services []PlatformService `json:"services"`
		// Teams are the tenants in the platform's JSON.
		Teams []PlatformTeam `json:"tenants"`
	}

	// PlatformRoute is a route of a PlatformConfig.
	PlatformRoute struct {
		Name        string `json:"name"`
		Host        string `json:"host"`
		Prefix      string `json:"path-prefix"`
		Kind        string `json:"type"`
		Service     string `json:"service"`
		TimeoutMs   int64  `json:"timeout-ms"`
		ObjectiveMs int64  `json:"goal-ms"`
		MaxAttempts int    `json:"max-attempts"`
		Resumable   bool   `json:"resumable"`
	}

	// PlatformService is a service of a PlatformConfig.
	PlatformService struct {
		Name string `json:"name"`
		// ColdStartS is how long a server is cold after its start, in seconds, and ColdPerS how many
		// requests a second it takes meanwhile; 0 means no limit.
		ColdStartS float64 `json:"cold-start-s,omitempty"`
		ColdPerS   float64 `json:"cold-per-s,omitempty"`
	}

	// PlatformTeam is a team of a PlatformConfig, with its API keys.
	PlatformTeam struct {
		Name string   `json:"name"`
		Keys []string `json:"api-keys"`
	}
)

// The states of a PlatformEntry.
const (
	PlatformReady    = "ready"
	PlatformDraining = "draining"
)

// The kinds of a PlatformRoute.
const (
	PlatformIdempotent    = "idempotent"
	PlatformNonIdempotent = "non_idempotent"
	PlatformStreaming     = "streaming"
)

// Request returns the HTTP request of the call to the instance at address.
func (c PlatformCall) Request(ctx context.Context, address string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	r.Host = c.Host
	r.Header.Set("Request-Id", c.ID)
	r.Header.Set("Authorization", "Bearer "+c.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.TimeLimit.Milliseconds(), 10))
	if c.PromptTokens > 0 {
		prompt := strconv.Itoa(c.PromptTokens)
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", prompt+","+strconv.Itoa(c.OutputTokens))
		r.Header.Set("Prefix-Hash", c.prefixHash())
	}
	return r, nil
}

// prefixHash divides the tokens of the prompt evenly among its parts.
func (c PlatformCall) prefixHash() string {
	tokens := c.PromptTokens / (len(c.Parts) + 1)
	var entries []string
	for _, part := range c.Parts {
		entries = append(entries, fmt.Sprintf("%s:%d", part, tokens))
	}
	own := fmt.Sprintf("%x:%d", xxhash.Sum64String(c.ID), c.PromptTokens-tokens*len(c.Parts))
	return strings.Join(append(entries, own), ",")
}

// sharedParts returns the IDs of the prompt's parts without the last one.
func sharedParts(header http.Header) []string {
	entries := strings.Split(header.Get("Prefix-Hash"), ",")
	var parts []string
	for _, entry := range entries[:len(entries)-1] {
		part, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		parts = append(parts, part)
	}
	return parts
}

// HasReceipt reports whether a response has a server's receipt.
func HasReceipt(header http.Header) bool { return header.Get("Response-Seal") != "" }

// Team returns the team that the request names.
func (r PlatformRun) Team() string { return r.Header.Get("Tenant") }

// KeyPassed reports whether the caller's API key reached the server.
func (r PlatformRun) KeyPassed() bool { return r.Header.Get("Authorization") != "" }

// HasPart reports whether the prompt shares the part.
func (r PlatformRun) HasPart(part string) bool { return slices.Contains(sharedParts(r.Header), part) }

// PutConfig writes the configuration to the store.
func (s *PlatformStore) PutConfig(c PlatformConfig) { s.put("config", "main", c) }

// PutEntry writes the entry of a server to the store.
func (s *PlatformStore) PutEntry(id string, e PlatformEntry) { s.put("servers", id, e) }

// PutRawEntry writes text as the entry of a server, as another writer may, also if malformed.
func (s *PlatformStore) PutRawEntry(id, text string) { s.Put("servers", id, []byte(text)) }

// RemoveEntry deletes the entry of a server from the store.
func (s *PlatformStore) RemoveEntry(id string) { s.Remove("servers", id) }

func (s *PlatformStore) put(kind, name string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err) // All values are of the types above, which always marshal.
	}
	s.Put(kind, name, spec)
}
