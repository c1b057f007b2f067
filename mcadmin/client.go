package mcadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"marigoldcroft"
	"marigoldcroft/mcconfig"
)

// maxAnswerBytes bounds an answer of the admin port.
const maxAnswerBytes = 64 << 20

// Client calls the admin port of one instance.
type Client struct {
	// Server is the address as IP:PORT.
	Server string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Apply stores the contents in one change.
func (c *Client) Apply(ctx context.Context, changes []mcconfig.Change, dryRun bool) (result mcconfig.Result, err error) {
	body := applyBody{DryRun: dryRun}
	for _, change := range changes {
		body.Changes = append(body.Changes, changeBody{ObjectName: change.Name, Object: change.Object, Expected: change.Expected})
	}
	err = c.call(ctx, http.MethodPost, "config/apply", body, &result)
	return result, err
}

// Delete removes the object.
func (c *Client) Delete(ctx context.Context, name mcconfig.ObjectName) (result mcconfig.Result, err error) {
	err = c.call(ctx, http.MethodDelete, objectPath(name), nil, &result)
	return result, err
}

// Rollback stores the content of an earlier revision as a new change.
func (c *Client) Rollback(ctx context.Context, name mcconfig.ObjectName, to uint64) (result mcconfig.Result, err error) {
	err = c.call(ctx, http.MethodPost, objectPath(name)+"/rollback", rollbackBody{To: to}, &result)
	return result, err
}

// Get returns the object in force.
func (c *Client) Get(ctx context.Context, name mcconfig.ObjectName) (entry mcconfig.Entry, err error) {
	err = c.call(ctx, http.MethodGet, objectPath(name), nil, &entry)
	return entry, err
}

// List returns all objects of the kind in force.
func (c *Client) List(ctx context.Context, kind mcconfig.ObjectKind) ([]mcconfig.Entry, error) {
	var all []mcconfig.Entry
	for after := ""; ; after = all[len(all)-1].Name {
		var body listBody
		path := "config/" + string(kind) + "?after=" + url.QueryEscape(after)
		if err := c.call(ctx, http.MethodGet, path, nil, &body); err != nil {
			return nil, err
		}
		all = append(all, body.Entries...)
		if len(body.Entries) < maxListed {
			return all, nil
		}
	}
}

// History returns the contents of the object, the newest first.
func (c *Client) History(ctx context.Context, name mcconfig.ObjectName) ([]mcconfig.Entry, error) {
	var body listBody
	err := c.call(ctx, http.MethodGet, objectPath(name)+"/history", nil, &body)
	return body.Entries, err
}

// Status returns the state of the deployment with respect to a revision; 0 stands
// for the one in force at the instance.
func (c *Client) Status(ctx context.Context, revision uint64) (status Status, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("status?revision=%d", revision), nil, &status)
	return status, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (status marigoldcroft.JobStatus, err error) {
	err = c.call(ctx, http.MethodGet, "jobs/"+url.PathEscape(id), nil, &status)
	return status, err
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "jobs/"+url.PathEscape(id)+"/cancel", nil, nil)
}

// Drain starts a planned stop of the instance.
func (c *Client) Drain(ctx context.Context, instance string) error {
	return c.call(ctx, http.MethodPost, "instances/"+url.PathEscape(instance)+"/drain", nil, nil)
}

// MarkEndpoint sets or clears the leaving mark of an endpoint.
func (c *Client) MarkEndpoint(ctx context.Context, name string, leaving bool) error {
	verb := "join"
	if leaving {
		verb = "leave"
	}
	return c.call(ctx, http.MethodPost, "endpoints/"+url.PathEscape(name)+"/"+verb, nil, nil)
}

// Explain tells how a request would be served.
func (c *Client) Explain(ctx context.Context, request ExplainRequest) (explanation Explanation, err error) {
	err = c.call(ctx, http.MethodPost, "explain", request, &explanation)
	return explanation, err
}

// ClearQuarantine takes a fingerprint out of quarantine.
func (c *Client) ClearQuarantine(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, "quarantine/"+url.PathEscape(id)+"/clear", nil, nil)
}

func objectPath(name mcconfig.ObjectName) string {
	return "config/" + string(name.Kind) + "/" + url.PathEscape(name.Name)
}

// call makes one call; in and out may be nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	operation := strings.ToLower(method) + " " + path
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return marigoldcroft.NewFailure(operation, KindInvalid, err)
		}
		body = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Server+"/admin/v1/"+path, body)
	if err != nil {
		return marigoldcroft.NewFailure(operation, KindInvalid, err)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return marigoldcroft.NewFailure("call "+c.Server, KindUnreachable, err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return marigoldcroft.NewFailure("call "+c.Server, KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return decodeFailure(operation, response.StatusCode, raw)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return marigoldcroft.NewFailure("call "+c.Server, KindUnreachable, err)
	}
	return nil
}

// decodeFailure turns an error answer into an error of the same kind. The cause of a
// conflict is a mcconfig.ConflictError with the diffs.
func decodeFailure(operation string, status int, raw []byte) error {
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Code == "" {
		return marigoldcroft.NewFailure(operation, KindUnavailable, errors.Newf("HTTP status %d", status))
	}
	if len(body.Conflicts) > 0 {
		return marigoldcroft.NewFailure(operation, body.Code, mcconfig.NewConflictError(body.Conflicts))
	}
	return marigoldcroft.NewFailure(operation, body.Code, errors.New(body.Message))
}
