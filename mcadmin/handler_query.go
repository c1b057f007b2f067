package mcadmin

import "net/http"

func (h *Handler) status(r *http.Request) (any, error) {
	if h.Status == nil {
		return nil, unsupported("status")
	}
	revision, _, err := number(r, "revision")
	if err != nil {
		return nil, err
	}
	return h.Status.Status(r.Context(), revision)
}

func (h *Handler) get(r *http.Request) (any, error) {
	if h.Config == nil {
		return nil, unsupported("get")
	}
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	return h.Config.Get(name)
}

func (h *Handler) list(r *http.Request) (any, error) {
	if h.Config == nil {
		return nil, unsupported("get")
	}
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	return listBody{Entries: h.Config.List(name.Kind, r.URL.Query().Get("after"), maxListed)}, nil
}

func (h *Handler) history(r *http.Request) (any, error) {
	if h.Config == nil {
		return nil, unsupported("history")
	}
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	entries, err := h.Config.History(r.Context(), name)
	return listBody{Entries: entries}, err
}

func (h *Handler) job(r *http.Request) (any, error) {
	if h.Jobs == nil {
		return nil, unsupported("job get")
	}
	return h.Jobs.Job(r.Context(), r.PathValue("id"))
}

func (h *Handler) explain(r *http.Request) (any, error) {
	if h.Explainer == nil {
		return nil, unsupported("explain")
	}
	var request ExplainRequest
	if err := decode(r, &request); err != nil {
		return nil, err
	}
	return h.Explainer.Explain(r.Context(), request)
}
