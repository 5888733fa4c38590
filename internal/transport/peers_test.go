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
	heard   chan string
	version uint64
	down    bool
}

func (f *fakeCore) PeerHeartbeat() protocol.PeerHeartbeat { return protocol.PeerHeartbeat{} }
func (f *fakeCore) Incarnation() uint64                   { return 1 }
func (f *fakeCore) ShardDemands() []protocol.ShardDemand  { return nil }
func (f *fakeCore) ReceivePeerHeartbeat(node string, _ protocol.PeerHeartbeat) {
	f.heard <- "pulse " + node
}
func (f *fakeCore) CancellationDigest(string) (protocol.CancellationDigest, bool) {
	return protocol.CancellationDigest{}, false
}
func (f *fakeCore) ReceiveCancellationDigest(node string, _ protocol.CancellationDigest) {
	f.heard <- "word " + node
}
func (f *fakeCore) ReceiveShardDemands(node string, _ protocol.ShardDemands) {
	f.heard <- "need " + node
}
func (f *fakeCore) PeerDisconnected(node string)                                 { f.heard <- "lost " + node }
func (f *fakeCore) Metrics() *controller.Metrics                                 { return controller.NewMetrics() }
func (f *fakeCore) Evictions(context.Context) ([]controller.EvictionView, error) { return nil, nil }

func (f *fakeCore) Settings(context.Context) (controller.OperatorSettings, uint64, error) {
	if f.down {
		return controller.OperatorSettings{}, 0, controller.ErrUnavailable
	}
	return controller.DefaultOperatorSettings(), f.version, nil
}

func (f *fakeCore) ChangeSettings(ctx context.Context, v uint64, raw json.RawMessage) (controller.OperatorSettings, uint64, error) {
	s, at, err := f.Settings(ctx)
	if err != nil {
		return s, at, err
	}
	if s, err = s.Change(raw); err == nil && v != at {
		err = controller.ErrVersion
	}
	return s, at + 1, err
}

func (f *fakeCore) Teams(context.Context) ([]controller.TeamView, error) {
	if f.down {
		return nil, controller.ErrUnavailable
	}
	return []controller.TeamView{{Name: "red", Version: f.version, State: controller.TeamInForce}}, nil
}

func (f *fakeCore) Team(ctx context.Context, name string) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	if err != nil || name != teams[0].Name {
		return controller.TeamView{}, cmp.Or(err, controller.ErrNoTeam)
	}
	return teams[0], nil
}

func (f *fakeCore) ChangeTeam(ctx context.Context, name string, v uint64, raw json.RawMessage) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	switch {
	case err != nil:
		return controller.TeamView{}, err
	case name == "old node":
		return controller.TeamView{}, &controller.GateError{Members: []string{"n1"}}
	case name != teams[0].Name:
		return controller.TeamView{}, controller.ErrNoTeam
	case v != f.version:
		return controller.TeamView{}, controller.ErrVersion
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

// pipeListener takes connections made with net.Pipe.
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
	frames := func(m ...protocol.PeerMessage) []byte {
		var b []byte
		for _, x := range m {
			b, _ = protocol.AppendFrame(b, x)
		}
		return b
	}
	hello := frames(protocol.Hello{Member: "n-1", Incarnation: 4}, protocol.PeerHeartbeat{StateOK: true})
	cases := []struct {
		name  string
		parts [][]byte // written a second apart
		http  bool     // the connection reaches the HTTP server, whole
		heard []string
		ends  bool // the port closes it by itself
	}{
		{"HTTP", [][]byte{[]byte("GET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"HTTP, one byte first", [][]byte{[]byte("G"), []byte("ET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"a peer", [][]byte{hello}, false, []string{"pulse n-1"}, false},
		{"a peer, half-sent first", [][]byte{hello[:1], hello[1:5], hello[5:]}, false, []string{"pulse n-1"}, false},
		{"silent", nil, false, nil, true},
		{"malformed frame", [][]byte{{protocol.FrameMagic, 7, 7, 7, 7, 7, 7, 7}}, false, nil, true},
		{"a stranger", [][]byte{frames(protocol.Hello{Member: "x", Incarnation: 4})}, false, nil, true},
		{"a frame that never ends", [][]byte{hello[:9]}, false, nil, true},
		{"malformed after hello", [][]byte{hello, {protocol.FrameMagic, 7, 7, 7, 7, 7, 7}}, false, []string{"pulse n-1", "lost n-1"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core := &fakeCore{heard: make(chan string, 10)}
				cfg := &config.Settings{MemberName: "n-0", Known: []config.Peer{{MemberName: "n-1"}}}
				transportPipeListener := &pipeListener{make(chan net.Conn, 1)}
				web := NewPeers(cfg, core, slog.New(slog.DiscardHandler)).Split(transportPipeListener)
				got := make(chan string, 1)
				go func() {
					conn, err := web.Accept()
					if err != nil {
						return
					}
					line, _ := bufio.NewReader(conn).ReadString('\n')
					got <- line
				}()
				mine, theirs := net.Pipe()
				transportPipeListener.conns <- theirs
				for _, p := range c.parts {
					_, _ = mine.Write(p)
					time.Sleep(time.Second)
				}
				ended := make(chan struct{})
				go func() {
					_, _ = io.ReadAll(mine)
					close(ended)
				}()
				time.Sleep(5 * time.Second) // less than a frame may take: what is open stays open
				if c.name == "a frame that never ends" {
					time.Sleep(10 * time.Second)
				}
				synctest.Wait()
				select {
				case line := <-got:
					if !c.http || !strings.HasPrefix(line, "GET /metrics") {
						t.Errorf("HTTP got %q", line)
					}
				default:
					if c.http {
						t.Error("HTTP got nothing")
					}
				}
				for _, want := range c.heard {
					select {
					case h := <-core.heard:
						if h != want {
							t.Errorf("heard %q, want %q", h, want)
						}
					default:
						t.Errorf("did not hear %q", want)
					}
				}
				select {
				case <-ended:
					if !c.ends {
						t.Error("connection was closed")
					}
				default:
					if c.ends {
						t.Error("connection is still open")
					}
				}
				_ = mine.Close()
				close(transportPipeListener.conns)
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestAdminAPI(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		down                     bool
		status                   int
		want                     string
	}{
		{"read", "GET", "/settings", "", false, 200, `"alpha":0.31`},
		{"change", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, false, 200, `"alpha":0.5`},
		{"old version", "PUT", "/settings", `{"version":6,"settings":{"alpha":0.5}}`, false, 409, "changed since"},
		{"no version", "PUT", "/settings", `{"settings":{"alpha":0.5}}`, false, 400, `"field":"version"`},
		{"unknown name", "PUT", "/settings", `{"version":7,"settings":{"beta":0.5}}`, false, 400, `"field":"beta"`},
		{"out of range", "PUT", "/settings", `{"version":7,"settings":{"alpha":1.5}}`, false, 400, `"field":"alpha"`},
		{"one bad of two", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5,"move_every_s":0}}`, false, 400, `"field":"move_every_s"`},
		{"wrong type", "PUT", "/settings", `{"version":7,"settings":{"log_level":3}}`, false, 400, `"field":"log_level"`},
		{"null", "PUT", "/settings", `{"version":7,"settings":{"alpha":null}}`, false, 400, `"field":"alpha"`},
		{"nothing", "PUT", "/settings", `{"version":7,"settings":{}}`, false, 400, `"field":"settings"`},
		{"not JSON", "PUT", "/settings", `alpha=1`, false, 400, `"field":"body"`},
		{"no state service", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, true, 503, "state service"},
		{"teams", "GET", "/teams", "", false, 200, `"state":"in force"`},
		{"one team", "GET", "/teams/red", "", false, 200, `"version":7`},
		{"a team that is not there", "GET", "/teams/pink", "", false, 404, "no such team"},
		{"change a team", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, false, 200, `"name":"red"`},
		{"old version of a team", "PUT", "/teams/red", `{"version":6,"team":{"cpus":1}}`, false, 409, "changed since"},
		{"no version of a team", "PUT", "/teams/red", `{"team":{"cpus":1}}`, false, 400, `"field":"version"`},
		{"bad bounds", "PUT", "/teams/red", `{"version":7,"team":{"cpus":2}}`, false, 400, `"field":"cpus"`},
		{"a team's change is not JSON", "PUT", "/teams/red", `cpus=1`, false, 400, `"field":"body"`},
		{"unknown team", "PUT", "/teams/pink", `{"version":7,"team":{"cpus":1}}`, false, 404, "no such team"},
		{"a node that does not read it", "PUT", "/teams/old%20node", `{"version":7,"team":{"cpus":1}}`, false, 503, "missing: n1"},
		{"no state service for teams", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, true, 503, "state service"},
		{"page too large", "GET", "/jobs?limit=201", "", false, 400, `"field":"limit"`},
		{"page", "GET", "/jobs?limit=2", "", false, 200, `"items":[]`},
		{"unknown machine", "GET", "/machines/host-1", "", false, 404, "no such machine"},
		{"unknown path", "GET", "/teapots", "", false, 404, "Cannot GET"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			adminServer := NewAdminServer(&fakeCore{version: 7, down: c.down}, DefaultAdminLimits())
			req, err := http.NewRequest(c.method, "http://node/admin/v1"+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := adminServer.app.Test(req, -1)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			raw, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || !strings.Contains(string(raw), c.want) {
				t.Fatalf("%d %s, want %d with %s", resp.StatusCode, raw, c.status, c.want)
			}
			if (resp.Header.Get("Retry-After") != "") != (c.status == 503) {
				t.Error("Retry-After belongs to 503 and to nothing else")
			}
		})
	}
}

// A link whose other side had given it up was written to for ever, so that side
// never heard this controller again.
func TestSpeakEndsWithTheOtherSide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeCore{heard: make(chan string, 10)}
		peers := NewPeers(&config.Settings{MemberName: "n-0"}, core, slog.New(slog.DiscardHandler))
		mine, theirs := net.Pipe()
		ended := make(chan struct{})
		go func() {
			peers.speak(t.Context(), halfOpen{mine}, "n-1")
			close(ended)
		}()
		go func() { _, _ = io.Copy(io.Discard, theirs) }()
		time.Sleep(2 * time.Second)
		select {
		case <-ended:
			t.Fatal("it ended although the other side listens")
		default:
		}
		_ = theirs.Close()
		time.Sleep(2 * time.Second)
		select {
		case <-ended:
		default:
			t.Error("it goes on although the other side has closed")
		}
		_ = mine.Close()
	})
}

// halfOpen takes whatever is written, as a socket does whose other side is silent.
type halfOpen struct{ net.Conn }

func (h halfOpen) Write(b []byte) (int, error) { return len(b), nil }
