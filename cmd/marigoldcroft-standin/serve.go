package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"marigoldcroft/mcverb"
)

const headerTimeout = 5 * time.Second

// serve runs an HTTP server at address, and work in the background, until SIGINT or SIGTERM.
func serve(address string, h http.Handler, background func(context.Context), stdout, stderr io.Writer) int {
	ctx, cancel := mcverb.SignalContext()
	defer cancel()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintf(stderr, "%s: listen on %s: %v\n", program, address, err)
		return mcverb.ExitFailed
	}
	fmt.Fprintf(stdout, "event=listening address=%s\n", listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go background(ctx)
	go func() {
		<-ctx.Done()
		// An error does not matter: the listener is closed either way.
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		fmt.Fprintf(stderr, "%s: serve: %v\n", program, err)
		return mcverb.ExitFailed
	}
	return mcverb.ExitOK
}

// noBackgroundWork is the background work of stand-ins that have none.
func noBackgroundWork(context.Context) {}
