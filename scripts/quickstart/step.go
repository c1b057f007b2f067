package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	copoKey    = "copo-key"
	orderSends = 10
	// comparisonBytes is the length of a prompt of about 250,000 tokens.
	comparisonBytes = 1_000_000
	jobPollInterval = 200 * time.Millisecond
)

// applySamples applies the two sample configurations through the first entry instance and
// waits until all instances are ready.
func applySamples(ctx context.Context, c *cluster) error {
	for _, file := range []string{"examples/copo-andino.yaml", "examples/brunnholzer.yaml"} {
		if err := c.runVerb(ctx, "apply", "-f", file); err != nil {
			return err
		}
	}
	return c.waitFor(ctx, "/readyz")
}

// runVerb runs a marigoldcroft verb against the first entry instance and prints the command and
// its output.
func (c *cluster) runVerb(ctx context.Context, arguments ...string) error {
	fmt.Println("== marigoldcroft " + strings.Join(arguments, " "))
	command := exec.CommandContext(ctx, filepath.Join("bin", "marigoldcroft"), append(arguments, "--server", c.entries[0].admin)...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return command.Run()
}

// streamShortPrompt sends a short prompt and prints the streamed response.
func streamShortPrompt(ctx context.Context, c *cluster) error {
	fmt.Println("== short question, streamed (template caption)")
	started := time.Now()
	body := `{"messages":[{"role":"user","content":"Caption this snowflake."}],"max_tokens":5,"stream":true}`
	response, err := c.post(ctx, c.entries[0], "/v1/chat/completions", "caption", "", []byte(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	complete := false
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		fmt.Printf("%4d ms  %s\n", time.Since(started).Milliseconds(), lines.Text())
		complete = complete || lines.Text() == "data: [DONE]"
	}
	if !complete {
		return fmt.Errorf("the stream ended without data: [DONE] (status %d)", response.StatusCode)
	}
	return lines.Err()
}

// runJob submits a long prompt as a durable job to the first instance and polls the last
// instance for the result, which shows that any instance can return it.
func runJob(ctx context.Context, c *cluster) error {
	fmt.Println("== long comparison as a durable job (template comparison)")
	body, err := json.Marshal(map[string]any{
		"messages":   []map[string]string{{"role": "user", "content": strings.Repeat("compare ", comparisonBytes/len("compare "))}},
		"max_tokens": 20,
	})
	if err != nil {
		return err
	}
	response, err := c.post(ctx, c.entries[0], "/v1/jobs", "comparison", uuid.NewString(), body)
	if err != nil {
		return err
	}
	var job jobStatus
	if err := decode(response, http.StatusAccepted, &job); err != nil {
		return err
	}
	fmt.Printf("job %s accepted\n", job.ID)
	for job.State != "done" {
		if job.State != "accepted" && job.State != "running" {
			return fmt.Errorf("job %s ended as %s: %s", job.ID, job.State, job.Error)
		}
		time.Sleep(jobPollInterval)
		if job, err = c.queryJob(ctx, job.ID); err != nil {
			return err
		}
	}
	fmt.Printf("job %s done, found at instance %s: %.60q\n", job.ID, entryName(entryCount-1), job.Answer)
	return nil
}

type jobStatus struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Answer string `json:"answer"`
	Error  string `json:"error"`
}

// queryJob returns the state of the job from the last entry instance, to which it was not
// submitted.
func (c *cluster) queryJob(ctx context.Context, id string) (jobStatus, error) {
	var job jobStatus
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.entries[entryCount-1].caller+"/v1/jobs/"+id, nil)
	if err != nil {
		return job, err
	}
	r.Header.Set("Authorization", "Bearer "+copoKey)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return job, err
	}
	return job, decode(response, http.StatusOK, &job)
}

// repeatOrder sends the same print order several times under one idempotency key, to the
// instances in turn, and checks that the service executed it once.
func repeatOrder(ctx context.Context, c *cluster) error {
	fmt.Printf("== print order, sent %d times with one idempotency key\n", orderSends)
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	for i := range orderSends {
		response, err := c.post(ctx, c.entries[i%entryCount], "/v1/services/orders/print-orders", "print-order", key.String(), []byte(`{"print":"snowflake 12"}`))
		if err != nil {
			return err
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return err
		}
		fmt.Printf("try %2d at %s: %d %s\n", i+1, entryName(i%entryCount), response.StatusCode, bytes.TrimSpace(text))
	}
	return c.checkExecutedOnce(ctx, "studio-cusco/"+key.String())
}

// checkExecutedOnce returns an error unless the service executed the order exactly once.
func (c *cluster) checkExecutedOnce(ctx context.Context, key string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.service+"/control/counts", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	var runs map[string]int
	if err := decode(response, http.StatusOK, &runs); err != nil {
		return err
	}
	fmt.Printf("the service ran it %d time(s)\n", runs[key])
	if runs[key] != 1 {
		return fmt.Errorf("the service executed the order %d times, want 1", runs[key])
	}
	return nil
}

func showStatus(ctx context.Context, c *cluster) error { return c.runVerb(ctx, "status") }

func (c *cluster) post(ctx context.Context, e entryInstance, path, template, key string, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+copoKey)
	r.Header.Set("X-Template", template)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(r)
}

func decode(response *http.Response, status int, out any) error {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != status {
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return json.Unmarshal(text, out)
}
