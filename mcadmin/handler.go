package mcadmin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcjob"
)

// maxListed bounds one list answer.
const maxListed = 1000

// Handler serves the admin port. A part that is nil answers "unsupported". Set the
// fields before use.
type Handler struct {
	Editor      *mcconfig.Editor
	Config      *mcconfig.Query
	Jobs        marigoldcroft.JobQuery
	JobCommands marigoldcroft.JobCommand
	Status      StatusSource
	Drainer     Drainer
	Endpoints   EndpointMarker
	Explainer   Explainer
	Quarantine  QuarantineClearer
}

// action answers one call with a value for JSON.
type action func(r *http.Request) (any, error)

// Routes returns the handler of all calls.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	for pattern, a := range map[string]action{
		"GET /admin/v1/status":                         h.status,
		"POST /admin/v1/config/apply":                  h.apply,
		"GET /admin/v1/config/{kind}":                  h.list,
		"GET /admin/v1/config/{kind}/{name}":           h.get,
		"GET /admin/v1/config/{kind}/{name}/history":   h.history,
		"POST /admin/v1/config/{kind}/{name}/rollback": h.rollback,
		"DELETE /admin/v1/config/{kind}/{name}":        h.remove,
		"GET /admin/v1/jobs/{id}":                      h.job,
		"POST /admin/v1/jobs/{id}/cancel":              h.cancelJob,
		"POST /admin/v1/instances/{name}/drain":        h.drain,
		"POST /admin/v1/endpoints/{name}/leave":        h.mark(true),
		"POST /admin/v1/endpoints/{name}/join":         h.mark(false),
		"POST /admin/v1/explain":                       h.explain,
		"POST /admin/v1/quarantine/{id}/clear":         h.clearQuarantine,
	} {
		mux.HandleFunc(pattern, serve(a))
	}
	return mux
}

func serve(a action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, 2*mcconfig.MaxFileBytes)
		value, err := a(r)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			status, body := describe(err)
			w.WriteHeader(status)
			value = body
		}
		// The caller sees a broken answer if this fails; nothing else can be done.
		_ = json.NewEncoder(w).Encode(value)
	}
}

// describe returns the HTTP status and the body for an error.
func describe(err error) (int, errorBody) {
	body := errorBody{Code: KindUnavailable, Message: err.Error()}
	var conflict *mcconfig.ConflictError
	if errors.As(err, &conflict) {
		body.Conflicts = conflict.Conflicts()
	}
	if kind := marigoldcroft.FailureKind[Kind](err); kind != "" {
		body.Code = kind
	}
	switch marigoldcroft.FailureKind[mcconfig.Kind](err) {
	case mcconfig.KindInvalid:
		body.Code = KindInvalid
	case mcconfig.KindConflict:
		body.Code = KindConflict
	case mcconfig.KindNotFound:
		body.Code = KindNotFound
	case mcconfig.KindUnknown:
		body.Code = KindUnknown
	}
	switch marigoldcroft.FailureKind[mcjob.Kind](err) {
	case mcjob.KindNotFound:
		body.Code = KindNotFound
	case mcjob.KindFinal:
		body.Code = KindConflict
	case mcjob.KindUnknown:
		body.Code = KindUnknown
	}
	switch body.Code {
	case KindInvalid:
		return http.StatusBadRequest, body
	case KindNotFound:
		return http.StatusNotFound, body
	case KindConflict:
		return http.StatusConflict, body
	case KindUnsupported:
		return http.StatusNotImplemented, body
	default:
		return http.StatusServiceUnavailable, body
	}
}

func unsupported(call string) error {
	return marigoldcroft.NewFailure(call, KindUnsupported, errors.New("this instance has no such part"))
}

func invalid(call string, err error) error { return marigoldcroft.NewFailure(call, KindInvalid, err) }

// decode reads a JSON body and refuses unknown fields.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return invalid(r.URL.Path, err)
	}
	return nil
}

// objectName reads kind and name from the path.
func objectName(r *http.Request) (mcconfig.ObjectName, error) {
	kind, err := mcconfig.ParseKind(r.PathValue("kind"))
	return mcconfig.ObjectName{Kind: kind, Name: r.PathValue("name")}, err
}

// number reads an optional number from the query.
func number(r *http.Request, name string) (uint64, bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, invalid(r.URL.Path, errors.Newf("parameter %s: %q is no number", name, text))
	}
	return n, true, nil
}

func none(err error) (any, error) { return struct{}{}, err }

// named runs a command on the thing that the path names.
func named(r *http.Request, parameter string, command func(context.Context, string) error) (any, error) {
	return none(command(r.Context(), r.PathValue(parameter)))
}
