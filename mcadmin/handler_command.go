package mcadmin

import (
	"context"
	"net/http"

	"marigoldcroft/mcconfig"
)

func (h *Handler) apply(r *http.Request) (any, error) {
	if h.Editor == nil {
		return nil, unsupported("apply")
	}
	var body applyBody
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	changes := make([]mcconfig.Change, 0, len(body.Changes))
	for _, c := range body.Changes {
		changes = append(changes, mcconfig.Change{Name: c.ObjectName, Object: c.Object, Expected: c.Expected})
	}
	return h.Editor.Apply(r.Context(), changes, body.DryRun)
}

func (h *Handler) remove(r *http.Request) (any, error) {
	if h.Editor == nil {
		return nil, unsupported("delete")
	}
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	var expected *uint64
	revision, given, err := number(r, "expected")
	if err != nil {
		return nil, err
	}
	if given {
		expected = &revision
	}
	return h.Editor.Delete(r.Context(), name, expected, r.URL.Query().Get("dryRun") == "true")
}

func (h *Handler) rollback(r *http.Request) (any, error) {
	if h.Editor == nil {
		return nil, unsupported("rollback")
	}
	name, err := objectName(r)
	if err != nil {
		return nil, err
	}
	var body rollbackBody
	if err := decode(r, &body); err != nil {
		return nil, err
	}
	return h.Editor.Rollback(r.Context(), name, body.To, body.DryRun)
}

func (h *Handler) cancelJob(r *http.Request) (any, error) {
	if h.JobCommands == nil {
		return nil, unsupported("job cancel")
	}
	return named(r, "id", h.JobCommands.Cancel)
}

func (h *Handler) drain(r *http.Request) (any, error) {
	if h.Drainer == nil {
		return nil, unsupported("drain")
	}
	return named(r, "name", h.Drainer.Drain)
}

func (h *Handler) mark(leaving bool) action {
	return func(r *http.Request) (any, error) {
		if h.Endpoints == nil {
			return nil, unsupported("endpoint")
		}
		return named(r, "name", func(ctx context.Context, name string) error {
			return h.Endpoints.MarkEndpoint(ctx, name, leaving)
		})
	}
}

func (h *Handler) clearQuarantine(r *http.Request) (any, error) {
	if h.Quarantine == nil {
		return nil, unsupported("quarantine clear")
	}
	return named(r, "id", h.Quarantine.ClearQuarantine)
}
