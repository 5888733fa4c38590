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

// WorkerClient is a client of the workers.
type WorkerClient struct{ client *fasthttp.Client }

// NewWorkerClient returns a client that sends direct commands to workers at their addresses.
func NewWorkerClient() *WorkerClient {
	return &WorkerClient{client: &fasthttp.Client{
		Dial:                      dialWithTimeout(workerDialTimeout),
		MaxConnsPerHost:           connsPerWorker,
		MaxIdleConnDuration:       workerIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       maxWorkerResponse,
	}}
}

// Command sends direct commands to a worker. It returns the heartbeat in the worker's response, and the
// status of the response.
func (w *WorkerClient) Command(addr string, commands protocol.DirectCommands, timeout time.Duration) (*protocol.Heartbeat, int, error) {
	var heartbeat *protocol.Heartbeat
	readHeartbeat := func(_ int, body []byte) (err error) {
		heartbeat, err = protocol.ParseHeartbeat(body)
		return err
	}
	request := serviceRequest{http.MethodPost, "/commands", commands}
	status, err := exchange(w.client, addr, request, time.Now().Add(timeout), readHeartbeat)
	return heartbeat, status, err
}
