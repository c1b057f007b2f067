package mcadmin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
	"marigoldcroft/mcsocket"
)

const (
	// callTimeout limits one call. It is longer than the 15 s that a configuration change
	// may take to resolve lost responses.
	callTimeout = 20 * time.Second
	// maxResponseBytes limits the body of a response. It is sized for a list of 1,000
	// objects.
	maxResponseBytes = 16 << 20
)

// Client calls the admin API of one instance.
type Client struct {
	// baseURL is such as http://127.0.0.1:7003.
	baseURL string
	http    *http.Client
}

// RemoteError is an error response of the instance.
type RemoteError struct{ response ErrorResponse }

// Error returns the message in the response.
func (e *RemoteError) Error() string { return e.response.Message }

// Kind returns the kind of the error.
func (e *RemoteError) Kind() Kind { return e.response.Kind }

// Conflicts returns the objects that concurrent changes modified first, if any.
func (e *RemoteError) Conflicts() []mcconfig.Conflict { return e.response.Conflicts }

// NewClient returns a client of the instance whose admin API listens at the address, an IP and port.
// credentials are those for mutual TLS; nil means plain HTTP.
func NewClient(address string, credentials *tls.Config) *Client {
	scheme := "http://"
	if credentials != nil {
		scheme = "https://"
	}
	return &Client{baseURL: scheme + address, http: mcsocket.NewClient(&http.Transport{
		TLSClientConfig: credentials, DisableKeepAlives: true, MaxResponseHeaderBytes: mcsocket.MaxResponseHeaderBytes,
	})}
}

// Apply applies the documents of an operator file, or only checks them in a dry run. The
// name of the file is used in error messages.
func (c *Client) Apply(ctx context.Context, file string, text []byte, dryRun bool) (mcconfig.Result, error) {
	query := url.Values{"file": {file}, "dryRun": {strconv.FormatBool(dryRun)}}
	return call[mcconfig.Result](ctx, c, http.MethodPost, "apply?"+query.Encode(), text)
}

// Delete deletes an object.
func (c *Client) Delete(ctx context.Context, name mcconfig.ObjectName) (mcconfig.Result, error) {
	return call[mcconfig.Result](ctx, c, http.MethodDelete, objectPath(name), nil)
}

// Rollback stores the content that the object had at the revision to as a new change.
func (c *Client) Rollback(ctx context.Context, name mcconfig.ObjectName, to uint64) (mcconfig.Result, error) {
	path := objectPath(name) + "/rollback?to=" + strconv.FormatUint(to, 10)
	return call[mcconfig.Result](ctx, c, http.MethodPost, path, nil)
}

// Command sends a command that returns no data. The path is relative to /admin/v1/, such
// as endpoints/engine-1/leave.
func (c *Client) Command(ctx context.Context, path string) error {
	_, err := call[commandResult](ctx, c, http.MethodPost, path, nil)
	return err
}

// Get returns the current content of an object.
func (c *Client) Get(ctx context.Context, name mcconfig.ObjectName) (mcconfig.Entry, error) {
	return call[mcconfig.Entry](ctx, c, http.MethodGet, objectPath(name), nil)
}

// List returns all current objects of a kind, sorted by name.
func (c *Client) List(ctx context.Context, kind mcconfig.ObjectKind) ([]mcconfig.Entry, error) {
	var all []mcconfig.Entry
	after := ""
	for {
		path := "config/" + url.PathEscape(string(kind)) + "?after=" + url.QueryEscape(after)
		page, err := call[[]mcconfig.Entry](ctx, c, http.MethodGet, path, nil)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < listPageSize {
			return all, nil
		}
		after = page[len(page)-1].Name
	}
}

// History returns the revisions of an object, newest first.
func (c *Client) History(ctx context.Context, name mcconfig.ObjectName) ([]mcconfig.Entry, error) {
	return call[[]mcconfig.Entry](ctx, c, http.MethodGet, objectPath(name)+"/history", nil)
}

// Status returns the state of the instance and its view of the deployment.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "status", nil)
}

// Explain returns the decision that the scheduler would make now for a prompt of the
// given number of tokens.
func (c *Client) Explain(ctx context.Context, team, template string, tokens int64) (SchedulingDecision, error) {
	query := url.Values{"team": {team}, "template": {template}, "tokens": {strconv.FormatInt(tokens, 10)}}
	return call[SchedulingDecision](ctx, c, http.MethodGet, "explain?"+query.Encode(), nil)
}

// Job returns the status of a durable job.
func (c *Client) Job(ctx context.Context, id string) (marigoldcroft.JobStatus, error) {
	return call[marigoldcroft.JobStatus](ctx, c, http.MethodGet, "jobs/"+url.PathEscape(id), nil)
}

// WaitApplied waits until all members known to the instance have applied the revision,
// wait has passed or ctx ends. It returns the number of members that have applied it and
// the others as dataCentre/instance.
func (c *Client) WaitApplied(ctx context.Context, revision uint64, wait time.Duration) (reached int, missing []string, err error) {
	end := time.Now().Add(wait)
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return 0, nil, err
		}
		reached, missing = applyProgress(status, revision)
		if len(missing) == 0 || !time.Now().Before(end) {
			return reached, missing, nil
		}
		select {
		case <-ctx.Done():
			return reached, missing, nil
		case <-time.After(pollInterval):
		}
	}
}

func objectPath(name mcconfig.ObjectName) string {
	return "config/" + url.PathEscape(string(name.Kind)) + "/" + url.PathEscape(name.Name)
}

// call sends a request and decodes the JSON response.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var value T
	operation := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return value, marigoldcroft.NewFailure(operation, KindInvalid, err)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return value, marigoldcroft.NewFailure(operation, KindUnreachable, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return value, marigoldcroft.NewFailure(operation, KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return value, decodeError(operation, response.StatusCode, text)
	}
	if err := json.Unmarshal(text, &value); err != nil {
		return value, marigoldcroft.NewFailure(operation, KindUnreachable, err)
	}
	return value, nil
}

func decodeError(operation string, status int, text []byte) error {
	var response ErrorResponse
	if err := json.Unmarshal(text, &response); err != nil || response.Kind == "" {
		return marigoldcroft.NewFailure(operation, KindUnreachable, errors.Newf("status %d: %.200s", status, text))
	}
	return &RemoteError{response: response}
}
