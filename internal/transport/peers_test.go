package transport

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

type fakeCore struct {
	AdminCore
	received         chan string
	version          uint64
	stateServiceDown bool
}

func (f *fakeCore) PeerHeartbeat() protocol.PeerHeartbeat { return protocol.PeerHeartbeat{} }
func (f *fakeCore) Incarnation() uint64                   { return 1 }
func (f *fakeCore) ShardDemands() []protocol.ShardDemand  { return nil }
func (f *fakeCore) ReceivePeerHeartbeat(member string, _ protocol.PeerHeartbeat) {
	f.received <- "heartbeat " + member
}
func (f *fakeCore) CancellationDigest(string) (protocol.CancellationDigest, bool) {
	return protocol.CancellationDigest{}, false
}
func (f *fakeCore) ReceiveCancellationDigest(member string, _ protocol.CancellationDigest) {
	f.received <- "digest " + member
}
func (f *fakeCore) ReceiveShardDemands(member string, _ protocol.ShardDemands) {
	f.received <- "demands " + member
}
func (f *fakeCore) PeerDisconnected(member string)                                { f.received <- "disconnected " + member }
func (f *fakeCore) Metrics() *controller.Metrics                                  { return controller.NewMetrics() }
func (f *fakeCore) Evictions(context.Context) ([]controller.VictimSetView, error) { return nil, nil }

func (f *fakeCore) Settings(context.Context) (controller.OperatorSettings, uint64, error) {
	if f.stateServiceDown {
		return controller.OperatorSettings{}, 0, controller.ErrStoreUnavailable
	}
	return controller.DefaultOperatorSettings(), f.version, nil
}

func (f *fakeCore) ChangeSettings(ctx context.Context, version uint64, raw json.RawMessage) (controller.OperatorSettings, uint64, error) {
	settings, current, err := f.Settings(ctx)
	if err != nil {
		return settings, current, err
	}
	if settings, err = settings.Change(raw); err == nil && version != current {
		err = controller.ErrVersionConflict
	}
	return settings, current + 1, err
}

func (f *fakeCore) Teams(context.Context) ([]controller.TeamView, error) {
	if f.stateServiceDown {
		return nil, controller.ErrStoreUnavailable
	}
	return []controller.TeamView{{Name: "red", Version: f.version, State: controller.TeamInForce}}, nil
}

func (f *fakeCore) Team(ctx context.Context, name string) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	if err != nil || name != teams[0].Name {
		return controller.TeamView{}, cmp.Or(err, controller.ErrUnknownTeam)
	}
	return teams[0], nil
}

func (f *fakeCore) ChangeTeam(ctx context.Context, name string, version uint64, raw json.RawMessage) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	switch {
	case err != nil:
		return controller.TeamView{}, err
	case name == "old controller":
		return controller.TeamView{}, &controller.LayoutGateError{Members: []string{"n1"}}
	case name != teams[0].Name:
		return controller.TeamView{}, controller.ErrUnknownTeam
	case version != f.version:
		return controller.TeamView{}, controller.ErrVersionConflict
	case string(raw) != `{"cpus":1}`:
		return controller.TeamView{}, &controller.FieldError{Field: "cpus", Expected: "1"}
	}
	return teams[0], nil
}

func (f *fakeCore) JobViews(context.Context, string, string, int) ([]controller.JobView, bool, error) {
	return []controller.JobView{}, false, nil
}

func (f *fakeCore) MachineInfo(context.Context, string) (controller.MachineInfo, bool, error) {
	return controller.MachineInfo{}, false, nil
}

// pipeListener accepts the connections that are sent on a channel, made with net.Pipe.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestOnePortForPeersAndHTTP(t *testing.T) {
	frames := func(messages ...protocol.PeerMessage) (data []byte) {
		var err error
		for _, message := range messages {
			if data, err = protocol.AppendFrame(data, message); err != nil {
				t.Fatal(err)
			}
		}
		return data
	}
	hello := frames(protocol.Hello{Member: "n-1", Incarnation: 4}, protocol.PeerHeartbeat{StateOK: true})
	cases := []struct {
		name       string
		writes     [][]byte // written at intervals of one second
		http       bool     // the HTTP server gets the connection with all its bytes
		received   []string
		portCloses bool // the port closes the connection
	}{
		{"HTTP", [][]byte{[]byte("GET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"HTTP, first byte alone", [][]byte{[]byte("G"), []byte("ET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"peer", [][]byte{hello}, false, []string{"heartbeat n-1"}, false},
		{"peer, frame in several writes", [][]byte{hello[:1], hello[1:5], hello[5:]}, false, []string{"heartbeat n-1"}, false},
		{"no data", nil, false, nil, true},
		{"malformed frame", [][]byte{{protocol.FrameMagic, 7, 7, 7, 7, 7, 7, 7}}, false, nil, true},
		{"unknown peer", [][]byte{frames(protocol.Hello{Member: "x", Incarnation: 4})}, false, nil, true},
		{"incomplete frame", [][]byte{hello[:9]}, false, nil, true},
		{"malformed frame after hello", [][]byte{hello, {protocol.FrameMagic, 7, 7, 7, 7, 7, 7}}, false, []string{"heartbeat n-1", "disconnected n-1"}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				port := openSharedPort()
				for _, data := range test.writes {
					_, _ = port.conn.Write(data) // the port may have closed the connection already
					time.Sleep(time.Second)
				}
				closed := make(chan struct{})
				go func() {
					_, _ = io.ReadAll(port.conn) // only the end of the connection matters
					close(closed)
				}()
				time.Sleep(5 * time.Second) // less than frameReadTimeout: open connections stay open
				if test.name == "incomplete frame" {
					time.Sleep(10 * time.Second)
				}
				synctest.Wait()
				port.checkHTTP(t, test.http)
				port.checkReceived(t, test.received)
				if isClosed(closed) != test.portCloses {
					t.Errorf("port closed the connection: %t, want %t", isClosed(closed), test.portCloses)
				}
				port.close(t)
			})
		})
	}
}

// sharedPort is a port for peers and HTTP, with one connection to it.
type sharedPort struct {
	core      *fakeCore
	listener  *pipeListener
	conn      net.Conn
	firstLine chan string // the first line that the HTTP server received
}

// openSharedPort serves a port with n-1 as the known peer, and connects to it.
func openSharedPort() *sharedPort {
	port := &sharedPort{
		core:      &fakeCore{received: make(chan string, 10)},
		listener:  &pipeListener{make(chan net.Conn, 1)},
		firstLine: make(chan string, 1),
	}
	cfg := &config.Settings{MemberName: "n-0", KnownPeers: []config.Peer{{MemberName: "n-1"}}}
	httpConns := NewPeers(cfg, port.core, slog.New(slog.DiscardHandler)).Split(port.listener)
	go func() {
		conn, err := httpConns.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(conn).ReadString('\n') // checkHTTP detects an incomplete line
		port.firstLine <- line
	}()
	var served net.Conn
	port.conn, served = net.Pipe()
	port.listener.conns <- served
	return port
}

// checkHTTP checks that the HTTP server received the complete request, or nothing.
func (p *sharedPort) checkHTTP(t *testing.T, want bool) {
	t.Helper()
	select {
	case line := <-p.firstLine:
		if !want || !strings.HasPrefix(line, "GET /metrics") {
			t.Errorf("HTTP server received %q", line)
		}
	default:
		if want {
			t.Error("HTTP server received nothing")
		}
	}
}

// checkReceived checks the first calls that the controller received.
func (p *sharedPort) checkReceived(t *testing.T, wantAll []string) {
	t.Helper()
	for _, want := range wantAll {
		select {
		case got := <-p.core.received:
			if got != want {
				t.Errorf("controller received %q, want %q", got, want)
			}
		default:
			t.Errorf("controller received nothing, want %q", want)
		}
	}
}

// close closes the connection and the port, and waits until their goroutines have ended.
func (p *sharedPort) close(t *testing.T) {
	t.Helper()
	if err := p.conn.Close(); err != nil {
		t.Error(err)
	}
	close(p.listener.conns)
	time.Sleep(time.Minute)
}

// isClosed reports whether a channel on which nothing is sent is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestAdminAPI(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		stateServiceDown         bool
		status                   int
		want                     string
	}{
		{"read", "GET", "/settings", "", false, 200, `"alpha":0.31`},
		{"change", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, false, 200, `"alpha":0.5`},
		{"old version", "PUT", "/settings", `{"version":6,"settings":{"alpha":0.5}}`, false, 409, "changed since"},
		{"no version", "PUT", "/settings", `{"settings":{"alpha":0.5}}`, false, 400, `"field":"version"`},
		{"unknown setting", "PUT", "/settings", `{"version":7,"settings":{"beta":0.5}}`, false, 400, `"field":"beta"`},
		{"out of range", "PUT", "/settings", `{"version":7,"settings":{"alpha":1.5}}`, false, 400, `"field":"alpha"`},
		{"one of two values out of range", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5,"move_every_s":0}}`, false, 400, `"field":"move_every_s"`},
		{"wrong type", "PUT", "/settings", `{"version":7,"settings":{"log_level":3}}`, false, 400, `"field":"log_level"`},
		{"null", "PUT", "/settings", `{"version":7,"settings":{"alpha":null}}`, false, 400, `"field":"alpha"`},
		{"empty change", "PUT", "/settings", `{"version":7,"settings":{}}`, false, 400, `"field":"settings"`},
		{"not JSON", "PUT", "/settings", `alpha=1`, false, 400, `"field":"body"`},
		{"state service unavailable", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, true, 503, "state service"},
		{"teams", "GET", "/teams", "", false, 200, `"state":"in force"`},
		{"one team", "GET", "/teams/red", "", false, 200, `"version":7`},
		{"unknown team in a read", "GET", "/teams/pink", "", false, 404, "no such team"},
		{"change a team", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, false, 200, `"name":"red"`},
		{"old version of a team", "PUT", "/teams/red", `{"version":6,"team":{"cpus":1}}`, false, 409, "changed since"},
		{"no version of a team", "PUT", "/teams/red", `{"team":{"cpus":1}}`, false, 400, `"field":"version"`},
		{"invalid team bounds", "PUT", "/teams/red", `{"version":7,"team":{"cpus":2}}`, false, 400, `"field":"cpus"`},
		{"team change is not JSON", "PUT", "/teams/red", `cpus=1`, false, 400, `"field":"body"`},
		{"unknown team in a change", "PUT", "/teams/pink", `{"version":7,"team":{"cpus":1}}`, false, 404, "no such team"},
		{"a controller does not read changed teams", "PUT", "/teams/old%20controller", `{"version":7,"team":{"cpus":1}}`, false, 503, "missing: n1"},
		{"state service unavailable for a team change", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, true, 503, "state service"},
		{"page too large", "GET", "/jobs?limit=201", "", false, 400, `"field":"limit"`},
		{"page", "GET", "/jobs?limit=2", "", false, 200, `"items":[]`},
		{"unknown machine", "GET", "/machines/host-1", "", false, 404, "no such machine"},
		{"unknown path", "GET", "/teapots", "", false, 404, "Cannot GET"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := NewAdminServer(&fakeCore{version: 7, stateServiceDown: test.stateServiceDown}, DefaultAdminLimits())
			checkAdminAnswer(t, server, test.method, test.path, test.body, test.status, test.want)
		})
	}
}

// checkAdminAnswer sends a request and checks the status of the answer and that its body contains want.
func checkAdminAnswer(t *testing.T, server *AdminServer, method, path, body string, status int, want string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://node/admin/v1"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := server.app.Test(request, -1)
	if err != nil {
		t.Fatal(err)
	}
	raw := readBody(t, resp)
	if resp.StatusCode != status || !strings.Contains(string(raw), want) {
		t.Fatalf("%d %q, want %d with %s", resp.StatusCode, raw, status, want)
	}
	if (resp.Header.Get("Retry-After") != "") != (resp.StatusCode == http.StatusServiceUnavailable) {
		t.Error("Retry-After is set without status 503, or not set with it")
	}
}

// Guards against writing for ever to a connection that the other side has closed: that controller then
// received no more messages from this one.
func TestSendMessagesEndsWhenPeerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeCore{received: make(chan string, 10)}
		peers := NewPeers(&config.Settings{MemberName: "n-0"}, core, slog.New(slog.DiscardHandler))
		local, remote := net.Pipe()
		returned := make(chan struct{})
		go func() {
			peers.sendMessages(t.Context(), discardingConn{local}, "n-1")
			close(returned)
		}()
		go func() { _, _ = io.Copy(io.Discard, remote) }() // returns when the connection ends
		time.Sleep(2 * time.Second)
		if isClosed(returned) {
			t.Fatal("sendMessages returned although the connection is open")
		}
		if err := remote.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !isClosed(returned) {
			t.Error("sendMessages still runs although the other side has closed the connection")
		}
		_ = local.Close() // sendMessages has closed it unless it still runs
	})
}

// discardingConn accepts and discards all writes, like a socket whose other side does not answer.
type discardingConn struct{ net.Conn }

func (c discardingConn) Write(b []byte) (int, error) { return len(b), nil }
