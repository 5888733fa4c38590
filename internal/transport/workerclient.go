package transport

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"dykeledge/internal/protocol"
)

// Limits of the connections to workers.
const (
	workerDialTimeout = time.Second
	workerIdleTimeout = 20 * time.Second
	connsPerWorker    = 2
	maxWorkerResponse = 1 << 20 // bytes
)

// Workers is the client of the workers.
type Workers struct{ client *fasthttp.Client }

// NewWorkers makes a client for the workers' addresses.
func NewWorkers() *Workers {
	return &Workers{client: &fasthttp.Client{
		Dial:                      dialWithTimeout(workerDialTimeout),
		MaxConnsPerHost:           connsPerWorker,
		MaxIdleConnDuration:       workerIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxWorkerResponse,
	}}
}

// Command sends commands straight to a worker and returns its heartbeat, with the answer's status.
func (w *Workers) Command(addr string, commands protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	var heartbeat *protocol.Heartbeat
	readHeartbeat := func(_ int, body []byte) (err error) {
		heartbeat, err = protocol.ParseHeartbeat(body)
		return err
	}
	request := serviceRequest{http.MethodPost, "/commands", commands}
	status, err := exchange(w.client, addr, request, time.Now().Add(timeout), readHeartbeat)
	return heartbeat, status, err
}
