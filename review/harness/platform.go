package harness

import (
	"encoding/json"
	"strings"
	"time"

	"marigoldcroft/mcstandin"
)

// Host is the host of all routes.
const Host = "svc.example"

type (
	// Config is a configuration as the operator writes it.
	Config struct {
		Version  int       `json:"version"`
		Routes   []Route   `json:"routes"`
		Services []Service `json:"services"`
		Limits   Limits    `json:"limits"`
		Tenants  []Tenant  `json:"tenants"`
	}

	// Route is a route of a Config.
	Route struct {
		Name           string `json:"name"`
		Host           string `json:"host"`
		PathPrefix     string `json:"path-prefix"`
		Type           string `json:"type"`
		Service        string `json:"service"`
		TimeoutMs      int    `json:"timeout-ms"`
		GoalMs         int    `json:"goal-ms"`
		Priority       int    `json:"priority"`
		MaxAttempts    int    `json:"max-attempts"`
		AllowAnonymous bool   `json:"allow-anonymous"`
		Sticky         bool   `json:"sticky,omitempty"`
		Resumable      bool   `json:"resumable,omitempty"`
		GapTargetMs    int    `json:"gap-target-ms,omitempty"`
	}

	// Service is a service of a Config.
	Service struct {
		Name       string         `json:"name"`
		HealthPath string         `json:"health-path"`
		MaxConns   int            `json:"max-conns"`
		Engine     map[string]any `json:"engine,omitempty"`
	}

	// Limits are the limits of a Config.
	Limits struct {
		MaxHeaderBytes  int `json:"max-header-bytes"`
		MaxBodyBytes    int `json:"max-body-bytes"`
		HeaderTimeoutMs int `json:"header-timeout-ms"`
		IdleTimeoutMs   int `json:"idle-timeout-ms"`
	}

	// Tenant is a tenant of a Config.
	Tenant struct {
		Name    string   `json:"name"`
		APIKeys []string `json:"api-keys"`
	}
)

// EngineFigures are the figures of marigold-pool at the site copo-lima.
var EngineFigures = map[string]any{
	"batch-slots": 16, "kv-capacity": 405000, "stride": 34, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213,
	"read_per_s": 154000, "pairs_per_m": 0.162, "chunk": 2048, "hop-ms": 0.1, "usual": map[string]any{"prompt": 4960, "answer": 1309},
}

// NewConfig returns a configuration with the limits of the site copo-lima.
func NewConfig(version int, routes []Route, tenants []Tenant, services ...Service) Config {
	return Config{
		Version: version, Routes: routes, Services: services, Tenants: tenants,
		Limits: Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// PutConfig writes the configuration as the operator does and returns the time of the ack.
func (c *Cluster) PutConfig(config Config) time.Time {
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // All values are of the types above, which always marshal.
	}
	c.Store.Put("config", "main", raw)
	acked := time.Now()
	c.Record.Printf("operator: config %d acked: %s", config.Version, raw)
	return acked
}

// RecordRuns writes which requests the server ran.
func (c *Cluster) RecordRuns(s *mcstandin.PlatformServer) {
	runs := s.Runs()
	ids := make([]string, len(runs))
	for i, run := range runs {
		ids[i] = run.ID
	}
	c.Record.Printf("server: %s ran %d requests: %s", s.ID, len(ids), strings.Join(ids, " "))
}

// PutEntry writes the entry of a server.
func (c *Cluster) PutEntry(id, service, address, state string, slots int, born int64) {
	c.Store.PutEntry(id, mcstandin.PlatformEntry{
		Service: service, Address: address, DataCentre: "z", Slots: slots, State: state, Started: born,
	})
	c.Record.Printf("store: entry of %s acked, service %s, address %s, state %s", id, service, address, state)
}
