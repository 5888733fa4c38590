package transport

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/golden"
	"dykeledge/internal/protocol"
)

// startService starts a service that records the requests and gives the same response to each; with
// status 0 it closes the connection without a response.
func startService(t *testing.T, status int, body string) (addr string, request *string) {
	t.Helper()
	request = new(string)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		raw, _ := io.ReadAll(received.Body) // a truncated body differs from the golden file
		*request += fmt.Sprintf("%s %s\n%s\n%s\n", received.Method, received.RequestURI, headers(received.Header), raw)
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, body) // the client's result shows whether the response was sent
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), request
}

// goldenSettings returns settings with rate limits so high that clients never wait for their budgets.
func goldenSettings(addr string) *config.Settings {
	var s config.Settings
	s.External.State, s.External.Cloud = addr, addr
	s.Deployment.Controllers = 1
	s.Deployment.State.RPS, s.Deployment.State.WriteRPS, s.Deployment.State.TxnOps = 1e6, 1e6, 12
	s.Deployment.Cloud.RPS = 1e6
	return &s
}

// clientCalls lists all client calls to other services, each with the body of a valid response.
var clientCalls = []struct {
	name, good string
	call       func(ctx context.Context, addr string) (any, error)
}{
	{"state-revision", `{"failed":[],"ledgerRev":9}`, func(ctx context.Context, addr string) (any, error) {
		return NewStateClient(goldenSettings(addr)).Revision(ctx)
	}},
	{"state-list", `{"rows":[{"path":"k/1","data":{"a":1},"stamp":4}],"more":true,"ledgerRev":9}`, func(ctx context.Context, addr string) (any, error) {
		return NewStateClient(goldenSettings(addr)).List(ctx, "k/", "", 100)
	}},
	{"state-list-after", `{"rows":[],"more":false,"ledgerRev":9}`, func(ctx context.Context, addr string) (any, error) {
		return NewStateClient(goldenSettings(addr)).List(ctx, "k/ü &", "k/1=2", 100)
	}},
	{"state-txn", `{"failed":["k/1"],"ledgerRev":9}`, func(ctx context.Context, addr string) (any, error) {
		rev, conflicts, err := NewStateClient(goldenSettings(addr)).Txn(ctx, filledValue[protocol.Txn](), protocol.UrgentRequest)
		return []any{rev, conflicts}, err
	}},
	{"state-grant", `{"tenure":5}`, func(ctx context.Context, addr string) (any, error) {
		return NewStateClient(goldenSettings(addr)).Grant(ctx, 2500*time.Millisecond)
	}},
	{"state-renew", `{}`, func(ctx context.Context, addr string) (any, error) {
		return nil, NewStateClient(goldenSettings(addr)).Renew(ctx, 5, time.Minute)
	}},
	{"state-follow", `{"ledgerRev":9,"news":[{"set":"k/1","data":{"a":1},"stamp":8},{"drop":"k/2","stamp":9}]}`, func(ctx context.Context, addr string) (any, error) {
		return NewStateClient(goldenSettings(addr)).Watch(ctx, "k/", 7, 1500*time.Millisecond)
	}},
	{"cloud-catalog", `{"hulls":[{"label":"g8","cpus":8,"accelerators":1,"ramGb":64,"cacheGb":50,"fetchGbPerS":0.5,"rate":3,"marketPrice":1,"bootS":40,"berths":["a"]}]}`,
		func(ctx context.Context, addr string) (any, error) {
			return NewCloudClient(goldenSettings(addr)).Catalog(ctx)
		}},
	{"cloud-rent", `{"hosts":["host-000001","host-000002"]}`, func(ctx context.Context, addr string) (any, error) {
		return NewCloudClient(goldenSettings(addr)).ScaleOut(ctx, filledValue[protocol.ScaleOutRequest]())
	}},
	{"cloud-return", `{}`, func(ctx context.Context, addr string) (any, error) {
		return nil, NewCloudClient(goldenSettings(addr)).ScaleIn(ctx, []string{"host-000001"})
	}},
	{"cloud-list", `{"hosts":[{"id":"host-000001","addr":"10.1.0.1:9000","hull":"g8","berth":"a","loaners":true,"status":"up","heldS":3.5}],"more":true}`,
		func(ctx context.Context, addr string) (any, error) {
			return NewCloudClient(goldenSettings(addr)).List(ctx, "")
		}},
	{"cloud-list-after", `{"hosts":[],"more":false}`, func(ctx context.Context, addr string) (any, error) {
		return NewCloudClient(goldenSettings(addr)).List(ctx, "host-000001")
	}},
	{"worker-command", workerHeartbeat, func(_ context.Context, addr string) (any, error) {
		heartbeat, status, err := NewWorkerClient().Command(addr, filledValue[protocol.DirectCommands](), time.Minute)
		return []any{heartbeat, status}, err
	}},
}

// TestGoldenClients compares the requests of the clients, and their results for each kind of response,
// with golden files.
func TestGoldenClients(t *testing.T) {
	for _, test := range clientCalls {
		t.Run(test.name, func(t *testing.T) {
			text := ""
			for _, answer := range []struct {
				status int
				body   string
			}{
				{200, test.good}, {409, test.good}, {200, "no JSON"}, {400, `{"error":"no such lease"}`}, {400, `{"error":"too many"}`}, {403, ""}, {404, ""},
				{409, `{"error":"no capacity"}`}, {410, ""}, {429, ""}, {500, ""}, {503, `{"error":"no capacity"}`}, {0, ""},
			} {
				addr, request := startService(t, answer.status, answer.body)
				out, err := test.call(t.Context(), addr)
				if text == "" {
					text = *request
				}
				text += fmt.Sprintf("answer %d %s\n", answer.status, answer.body) + outcomeText(t, out, err, answer.status != 0)
			}
			golden.CheckText(t, "client-"+test.name+".txt", text)
		})
	}
}

// outcomeText formats a result as JSON, and an error with the errors of package protocol that it wraps;
// withText adds its message.
func outcomeText(t *testing.T, out any, err error, withText bool) string {
	t.Helper()
	raw, marshalErr := json.Marshal(out)
	if marshalErr != nil {
		t.Fatal(marshalErr)
	}
	text := fmt.Sprintf("  returns %s\n", raw)
	if err != nil && withText {
		text += fmt.Sprintf("  error %v\n", err)
	}
	for _, kind := range []error{protocol.ErrRefused, protocol.ErrOutcomeUnknown, protocol.ErrNotFound, protocol.ErrRevisionTooOld, protocol.ErrTooLarge,
		protocol.ErrLeaseExpired, protocol.ErrNoCapacity} {
		if errors.Is(err, kind) {
			text += fmt.Sprintf("  kind %v\n", kind)
		}
	}
	return text
}

// peerStub is a controller that has a message of every kind to send.
type peerStub struct{ PeerCore }

func (peerStub) PeerHeartbeat() protocol.PeerHeartbeat { return filledValue[protocol.PeerHeartbeat]() }
func (peerStub) Incarnation() uint64                   { return 77 }
func (peerStub) ShardDemands() []protocol.ShardDemand  { return filledValue[[]protocol.ShardDemand]() }
func (peerStub) CancellationDigest(string) (protocol.CancellationDigest, bool) {
	return filledValue[protocol.CancellationDigest](), true
}

// TestGoldenPeers compares the first bytes that a controller sends to another with a golden file.
func TestGoldenPeers(t *testing.T) {
	local, remote := net.Pipe()
	peers := NewPeers(&config.Settings{MemberName: "n-0"}, peerStub{}, slog.New(slog.DiscardHandler))
	var sending sync.WaitGroup
	t.Cleanup(sending.Wait)
	sending.Go(func() { peers.sendMessages(t.Context(), local, "n-1") })
	frames := make([]byte, 4<<10)
	length, err := remote.Read(frames)
	if err != nil {
		t.Fatal(err)
	}
	if err := remote.Close(); err != nil { // ends the sending side too
		t.Error(err)
	}
	golden.CheckText(t, "peer-frames.txt", hex.Dump(frames[:length]))
}
