package mcadmin

import (
	"math"
	"net/http"
	"strconv"

	"marigoldcroft/mcconfig"
)

// commandResult is the response of a command that returns no data.
type commandResult struct {
	Done bool `json:"done"`
}

func (s *Server) apply(r *http.Request) (any, error) {
	text, err := readBody(r)
	if err != nil {
		return nil, err
	}
	changes, err := mcconfig.DecodeFile(fileName(r), text)
	if err != nil {
		return nil, err
	}
	return s.Editor.Apply(r.Context(), changes, dryRun(r))
}

func (s *Server) remove(r *http.Request) (any, error) {
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	return s.Editor.Delete(r.Context(), name, nil, dryRun(r))
}

func (s *Server) rollback(r *http.Request) (any, error) {
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	to, err := uintParam(r, "to", math.MaxUint64)
	if err != nil {
		return nil, err
	}
	return s.Editor.Rollback(r.Context(), name, to, dryRun(r))
}

func dryRun(r *http.Request) bool { return r.URL.Query().Get("dryRun") == "true" }

func (s *Server) drain(r *http.Request) (any, error) {
	return commandResult{true}, s.Command.Drain(r.Context(), r.PathValue("name"))
}

func (s *Server) setLeaving(leaving bool) handler {
	return func(r *http.Request) (any, error) {
		return commandResult{true}, s.Command.SetLeaving(r.PathValue("name"), leaving)
	}
}

func (s *Server) clearQuarantine(r *http.Request) (any, error) {
	const hex = 16
	fingerprint, err := strconv.ParseUint(r.PathValue("fingerprint"), hex, 64)
	if err != nil {
		return nil, invalidField("fingerprint", err)
	}
	return commandResult{true}, s.Command.ClearQuarantine(fingerprint)
}

func (s *Server) cancelJob(r *http.Request) (any, error) {
	if s.Jobs == nil {
		return nil, jobsNotServed()
	}
	return commandResult{true}, s.Jobs.Cancel(r.Context(), r.PathValue("id"))
}
