package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator is the client of the control interface. It knows a list of addresses, and moves
// on to the next after a failure, a 5xx or a second without an answer.
type operator struct {
	rec    *record
	client *http.Client
	next   int
}

func newOperator(rec *record) *operator {
	return &operator{rec: rec, client: &http.Client{
		Timeout:   time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// call sends one request and returns the status and the body; status 0 for no answer.
func (o *operator) call(method, addr, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// put sends a config to the addresses in turn until it is acknowledged or refused, for at
// most limit. It returns the address that has answered.
func (o *operator) put(addrs []string, version int, body []byte, limit time.Duration) (string, error) {
	o.rec.add("operator: config %d is %s", version, body)
	until := time.Now().Add(limit)
	for pause := 50 * time.Millisecond; time.Now().Before(until); pause = min(2*pause, 500*time.Millisecond) {
		addr := addrs[o.next%len(addrs)]
		o.next++
		status, _ := o.call("PUT", addr, "/configuration", body)
		o.rec.add("operator: PUT config %d at %s -> %d", version, addr, status)
		switch {
		case status == http.StatusOK:
			return addr, nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return addr, fmt.Errorf("config %d was refused with %d", version, status)
		}
		time.Sleep(pause)
	}
	return "", errors.New("no clear answer")
}

// get reads the config at one address and returns its version; 0 and the status where
// there is none.
func (o *operator) get(addr string) (version, status int, body []byte) {
	status, body = o.call("GET", addr, "/configuration", nil)
	var c struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &c) == nil {
		version = c.Version
	}
	o.rec.add("operator: GET config at %s -> %d, version %d", addr, status, version)
	return version, status, body
}
