package harness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync/atomic"
)

// Answer is what a caller received. Status 0 means that the connection ended without a complete
// answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

var lastID atomic.Int64

// NextID returns a request ID that is new in this run.
func NextID() string { return fmt.Sprintf("q%d", lastID.Add(1)) }

// Send sends a request on a new connection and reads the answer.
func Send(ctx context.Context, address, method, path, body string, header map[string]string) Answer {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	return Exchange(conn, bufio.NewReader(conn), method, path, body, header)
}

// Exchange sends a request on an open connection and reads the answer.
func Exchange(conn net.Conn, reader *bufio.Reader, method, path, body string, header map[string]string) Answer {
	if _, err := io.WriteString(conn, Format(method, path, body, header)); err != nil {
		return Answer{Err: err}
	}
	return ReadAnswer(reader, method)
}

// ReadAnswer reads one answer.
func ReadAnswer(reader *bufio.Reader, method string) Answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Header: response.Header, Body: string(text), Err: err}
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text)}
}

// Format returns the bytes of a request.
func Format(method, path, body string, header map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\n", method, path)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, header[name])
	}
	if body != "" || method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}
