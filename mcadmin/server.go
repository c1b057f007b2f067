package mcadmin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcjob"
)

const (
	listPageSize = 1000
	// maxTokens is the longest prompt that the explain request accepts.
	maxTokens = 10_000_000
)

// Server serves the admin API. Its exported fields must be set before Handler is called;
// Jobs and JobQuery may be nil.
type Server struct {
	Editor   *mcconfig.Editor
	Query    *mcconfig.Query
	Command  InstanceCommand
	Instance InstanceQuery
	Jobs     marigoldcroft.JobCommand
	JobQuery marigoldcroft.JobQuery
	Logger   zerolog.Logger
}

// handler handles a request and returns the value to encode as the response.
type handler func(r *http.Request) (any, error)

// Handler returns the HTTP handler of the admin API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	commands := map[string]handler{
		"POST /admin/v1/apply":                          s.apply,
		"DELETE /admin/v1/config/{kind}/{name}":         s.remove,
		"POST /admin/v1/config/{kind}/{name}/rollback":  s.rollback,
		"POST /admin/v1/instances/{name}/drain":         s.drain,
		"POST /admin/v1/endpoints/{name}/leave":         s.setLeaving(true),
		"POST /admin/v1/endpoints/{name}/join":          s.setLeaving(false),
		"POST /admin/v1/quarantine/{fingerprint}/clear": s.clearQuarantine,
		"POST /admin/v1/jobs/{id}/cancel":               s.cancelJob,
	}
	queries := map[string]handler{
		"GET /admin/v1/config/{kind}":                s.list,
		"GET /admin/v1/config/{kind}/{name}":         s.get,
		"GET /admin/v1/config/{kind}/{name}/history": s.history,
		"GET /admin/v1/status":                       func(*http.Request) (any, error) { return s.Instance.Status(), nil },
		"GET /admin/v1/explain":                      s.explain,
		"GET /admin/v1/jobs/{id}":                    s.job,
	}
	for pattern, handle := range commands {
		mux.HandleFunc(pattern, s.handlerFunc("operatorCommand", handle))
	}
	for pattern, handle := range queries {
		mux.HandleFunc(pattern, s.handlerFunc("operatorQuery", handle))
	}
	return mux
}

// handlerFunc returns an HTTP handler that calls handle, logs the request as event and
// writes the result or the error. Queries are logged at debug level.
func (s *Server) handlerFunc(event string, handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, mcconfig.MaxFileBytes)
		value, err := handle(r)
		line := s.Logger.Info()
		if event == "operatorQuery" {
			line = s.Logger.Debug()
		}
		line.Str("path", r.URL.Path).Str("remote", r.RemoteAddr).AnErr("error", err).Msg(event)
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			response := toErrorResponse(err)
			w.WriteHeader(httpStatus[response.Kind])
			value = response
		}
		// A write error means that the client has disconnected, so it cannot be reported.
		_ = json.NewEncoder(w).Encode(value)
	}
}

var httpStatus = map[Kind]int{
	KindInvalid:        http.StatusBadRequest,
	KindNotFound:       http.StatusNotFound,
	KindConflict:       http.StatusConflict,
	KindOutcomeUnknown: http.StatusGatewayTimeout,
	KindUnavailable:    http.StatusServiceUnavailable,
	KindUnreachable:    http.StatusBadGateway,
}

// toErrorResponse converts an error of this package, mcconfig or mcjob to a response body.
// Other errors become KindUnavailable.
func toErrorResponse(err error) ErrorResponse {
	response := ErrorResponse{Kind: KindUnavailable, Message: err.Error()}
	var conflict *mcconfig.ConflictError
	if errors.As(err, &conflict) {
		response.Conflicts = conflict.Conflicts()
	}
	if kind := marigoldcroft.FailureKind[Kind](err); kind != "" {
		response.Kind = kind
		return response
	}
	switch {
	case mcconfig.IsInvalid(err):
		response.Kind = KindInvalid
	case mcconfig.IsConflict(err):
		response.Kind = KindConflict
	case mcconfig.IsNotFound(err):
		response.Kind = KindNotFound
	case mcconfig.IsOutcomeUnknown(err), mcjob.IsKind(err, mcjob.KindUnknown):
		response.Kind = KindOutcomeUnknown
	case mcjob.IsKind(err, mcjob.KindNotFound):
		response.Kind = KindNotFound
	case mcjob.IsKind(err, mcjob.KindEnded):
		response.Kind = KindConflict
	}
	return response
}

func invalidField(field string, err error) error {
	return marigoldcroft.NewFailure("read field "+field, KindInvalid, err)
}

func objectName(r *http.Request) (mcconfig.ObjectName, error) {
	kind, err := mcconfig.ParseKind(r.PathValue("kind"))
	return mcconfig.ObjectName{Kind: kind, Name: r.PathValue("name")}, err
}

func uintParam(r *http.Request, field string, limit uint64) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(field), 10, 64)
	if err == nil && n > limit {
		err = errors.Newf("%d is over the limit %d", n, limit)
	}
	if err != nil {
		return 0, invalidField(field, err)
	}
	return n, nil
}

func readBody(r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, invalidField("body", err)
	}
	return text, nil
}

func fileName(r *http.Request) string {
	if name := r.URL.Query().Get("file"); name != "" {
		return name
	}
	return "file"
}

func jobsNotServed() error {
	return marigoldcroft.NewFailure("jobs", KindNotFound, fmt.Errorf("this instance serves no jobs"))
}
