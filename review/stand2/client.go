package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients sends requests and counts their results.
type clients struct {
	record *record
	// address is the outbound address of the clients' own machine.
	address  string
	deadline time.Duration

	next atomic.Int64
	wg   sync.WaitGroup

	mu      sync.Mutex
	results map[string]int
	waits   []wait
	foreign int
}

// wait is how long a client has waited for the answer to a request.
type wait struct {
	sentAt time.Time
	// took is the time until the answer, or until the client left if there was none.
	took time.Duration
}

func newClients(r *record, address string, deadline time.Duration) *clients {
	return &clients{record: r, address: address, deadline: deadline, results: map[string]int{}}
}

// send starts one request on a connection of its own.
func (c *clients) send(ctx context.Context, method, path string, bodyBytes int) {
	id := fmt.Sprintf("c%07d", c.next.Add(1))
	c.record.add("sent id=%s %s %s", id, method, path)
	c.wg.Go(func() {
		began := time.Now()
		result := c.exchange(ctx, id, method, path, bodyBytes)
		w := wait{sentAt: began, took: time.Since(began)}
		c.record.add("end id=%s %s after %v", id, result, w.took.Round(time.Millisecond))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results[result]++
		c.waits = append(c.waits, w)
	})
}

// exchange sends a request and returns its status, or why there is none. The client leaves at
// its deadline.
func (c *clients) exchange(ctx context.Context, id, method, path string, bodyBytes int) string {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(end)
	}
	length := ""
	if bodyBytes > 0 {
		length = fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		method, path, names["attemptID"], id, names["deadline"], c.deadline.Milliseconds(), length)
	if err != nil {
		return describe(err)
	}
	if _, err := conn.Write(bytes.Repeat([]byte("u"), bodyBytes)); err != nil {
		return describe(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return describe(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return describe(err)
	}
	if resp.StatusCode == http.StatusOK && len(bytes.ReplaceAll(body, []byte(id+"."), nil)) > 0 {
		c.mu.Lock()
		c.foreign++
		c.mu.Unlock()
	}
	return resp.Status[:3]
}

// describe returns a short text for the error of a connection.
func describe(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "no answer"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "reset"):
		return "cut"
	default:
		return err.Error()
	}
}

// served returns the number of requests that were answered with success.
func (c *clients) served() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results["200"]
}

// late returns how many of the requests that were sent since a time were unanswered after a
// timeout, and how many of these had no answer half a second later either.
func (c *clients) late(since time.Time, timeout time.Duration) (unanswered, late int) {
	const grace = 500 * time.Millisecond
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waits {
		if w.sentAt.Before(since) || w.took < timeout {
			continue
		}
		unanswered++
		if w.took > timeout+grace {
			late++
		}
	}
	return unanswered, late
}

// summary returns the numbers of all results.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.results)
}
