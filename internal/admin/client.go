package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/keys"
)

// retryDelay is the pause before unavailable processes are asked again.
const retryDelay = 200 * time.Millisecond

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 256 << 20

// ClientOptions configure a client.
type ClientOptions struct {
	// Socket is the path of a local process's socket.
	Socket string
	// Remotes are addresses of processes, used instead of Socket and tried in
	// turn.
	Remotes []string
	// Identity proves the operator to Remotes.
	Identity *keys.Identity
}

// Client talks to the interface. It repeats what failed until its context
// ends; commands need a request ID for that to be safe.
type Client struct {
	http    *http.Client
	targets []string // base URLs
}

// NewClient returns a client. It connects when it is used.
func NewClient(o ClientOptions) *Client {
	dialer := &net.Dialer{}
	transport := &http.Transport{}
	c := &Client{http: &http.Client{Transport: transport}}
	if len(o.Remotes) == 0 {
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "unix", o.Socket)
		}
		c.targets = []string{"http://local"}
		return c
	}
	if o.Identity != nil {
		transport.TLSClientConfig = o.Identity.ClientTLSFor("", []keys.Role{keys.Control, keys.Balancer, keys.Agent})
	}
	for _, remote := range o.Remotes {
		c.targets = append(c.targets, "https://"+remote)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Propose runs a command. Without a request ID it is sent once.
func (c *Client) Propose(ctx context.Context, command fleet.Command) (fleet.Result, error) {
	var result fleet.Result
	body, err := json.Marshal(command)
	if err != nil {
		return result, ErrRefused.Wrap(err, "cannot encode the command")
	}
	return result, c.do(ctx, request{
		method:     http.MethodPost,
		path:       pathCommands,
		body:       body,
		repeatable: command.RequestID != "",
		answers:    []int{http.StatusConflict, http.StatusNotFound, http.StatusUnprocessableEntity},
	}, &result)
}

// Current returns the configuration in force.
func (c *Client) Current(ctx context.Context) (Document, error) {
	var out Document
	return out, c.get(ctx, pathDocument, &out)
}

// At returns the configuration of one version.
func (c *Client) At(ctx context.Context, version uint64) (Document, error) {
	var out Document
	path := pathDocument + "?version=" + strconv.FormatUint(version, 10)
	return out, c.get(ctx, path, &out)
}

// History returns the versions that are kept, the oldest first.
func (c *Client) History(ctx context.Context) ([]fleet.HistoryEntry, error) {
	var out []fleet.HistoryEntry
	return out, c.get(ctx, pathHistory, &out)
}

// Status returns the state of the fleet in short.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.get(ctx, pathStatus, &out)
}

// Progress tells how far a revision has spread.
func (c *Client) Progress(ctx context.Context, revision uint64) (Progress, error) {
	var out Progress
	path := pathProgress + "?revision=" + strconv.FormatUint(revision, 10)
	return out, c.get(ctx, path, &out)
}

// Dump returns the state of the process as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var out json.RawMessage
	return out, c.get(ctx, pathDump, &out)
}

// Replicas returns the members of the control group.
func (c *Client) Replicas(ctx context.Context) ([]Replica, error) {
	var out []Replica
	return out, c.get(ctx, pathReplicas, &out)
}

// AddReplica adds a replica to the control group.
func (c *Client) AddReplica(ctx context.Context, name string, addr netip.AddrPort) error {
	body, err := json.Marshal(ReplicaRequest{Name: name, Addr: addr})
	if err != nil {
		return ErrRefused.Wrap(err, "cannot encode the request")
	}
	return c.do(ctx, request{method: http.MethodPost, path: pathReplicas, body: body}, nil)
}

// RemoveReplica removes a replica from the control group.
func (c *Client) RemoveReplica(ctx context.Context, id string) error {
	return c.do(ctx, request{method: http.MethodDelete, path: pathReplicas + "/" + url.PathEscape(id)}, nil)
}

// request is one call of the interface.
type request struct {
	method, path string
	body         []byte
	// repeatable requests may run twice without harm.
	repeatable bool
	// answers are the status codes that carry an answer besides 2xx.
	answers []int
}

// get asks for a value.
func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.do(ctx, request{method: http.MethodGet, path: path, repeatable: true}, out)
}

// do asks the targets in turn until one answers. Repeatable requests go on
// until ctx ends; others end with the first that may have been received.
func (c *Client) do(ctx context.Context, r request, out any) error {
	for {
		var err error
		for _, target := range c.targets {
			err = c.ask(ctx, target, r, out)
			if err == nil || !errorx.IsTemporary(err) || !r.repeatable && !errorx.IsOfType(err, errUnreachable) {
				return err
			}
		}
		if !r.repeatable {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

// neverSent reports whether the connection could not be opened.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// ask sends the request to one target.
func (c *Client) ask(ctx context.Context, target string, r request, out any) error {
	call, err := http.NewRequestWithContext(ctx, r.method, target+r.path, bytes.NewReader(r.body))
	if err != nil {
		return ErrRefused.Wrap(err, "cannot make a request for %s", target)
	}
	if r.body != nil {
		call.Header.Set("Content-Type", contentJSON)
	}
	response, err := c.http.Do(call)
	if err != nil && neverSent(err) {
		return errUnreachable.Wrap(err, "cannot connect")
	}
	if err != nil {
		return ErrUnavailable.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return ErrUnavailable.Wrap(err, "answer of %s was cut off", target)
	}
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	answered := response.StatusCode/100 == 2 || slices.Contains(r.answers, response.StatusCode)
	if !answered || kind == contentProblem {
		return refusal(response.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return ErrRefused.Wrap(err, "answer of %s is not understood", target)
	}
	return nil
}

// refusal makes an error of a problem.
func refusal(status int, body []byte) error {
	var p Problem
	if json.Unmarshal(body, &p) != nil || p.Detail == "" {
		p.Detail = http.StatusText(status)
	}
	if status == http.StatusServiceUnavailable {
		return ErrUnavailable.New("%s", p.Detail)
	}
	return ErrRefused.New("%s", p.Detail)
}
