package mcadmin

import (
	"net/http"

	"marigoldcroft/mcconfig"
)

func (s *Server) list(r *http.Request) (any, error) {
	kind, err := mcconfig.ParseKind(r.PathValue("kind"))
	if err != nil {
		return nil, err
	}
	return s.Query.List(kind, r.URL.Query().Get("after"), listPageSize), nil
}

func (s *Server) get(r *http.Request) (any, error) {
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	return s.Query.Get(name)
}

func (s *Server) history(r *http.Request) (any, error) {
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	return s.Query.History(r.Context(), name)
}

func (s *Server) explain(r *http.Request) (any, error) {
	tokens, err := uintParam(r, "tokens", maxTokens)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	return s.Instance.Explain(query.Get("team"), query.Get("template"), int64(tokens))
}

func (s *Server) job(r *http.Request) (any, error) {
	if s.JobQuery == nil {
		return nil, jobsNotServed()
	}
	return s.JobQuery.Job(r.Context(), r.PathValue("id"))
}
