package transport

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/gofiber/fiber/v2"

	"dykeledge/internal/controller"
	"dykeledge/internal/golden"
	"dykeledge/internal/protocol"
)

// publicApp and adminApp return the two servers with a stub as controller.
func publicApp(s *stubCore) *fiber.App {
	return NewPublicServer(s, 500, slog.New(slog.DiscardHandler)).app
}

func adminApp(s *stubCore) *fiber.App { return NewAdminServer(s, DefaultAdminLimits()).app }

// TestGoldenRoutes compares the methods and paths of the servers with golden files.
func TestGoldenRoutes(t *testing.T) {
	for name, app := range map[string]*fiber.App{"public": publicApp(&stubCore{}), "admin": adminApp(&stubCore{})} {
		t.Run(name, func(t *testing.T) {
			var lines []string
			for _, route := range app.GetRoutes(true) {
				lines = append(lines, route.Path+" "+route.Method+"\n")
			}
			slices.Sort(lines)
			golden.CheckText(t, "routes-"+name+".txt", strings.Join(lines, ""))
		})
	}
}

const workerHeartbeat = `{"host":"host-000231","addr":"10.1.0.232:9000","hull":"g8","berth":"a","loaners":true,"watch":1,"tally":88,
"helm":41,"recallS":12.5,"shards":[{"shard":"job-000412/3","try":2,"status":"exited","cause":"stopped","saved":true}]}`

// TestGoldenAnswers compares the answers of the servers, and the values that they pass to the controller,
// with golden files.
func TestGoldenAnswers(t *testing.T) {
	success := stubCore{answer: controller.Answer{Status: 200, Body: filledValue[protocol.JobState]()}}
	busy := stubCore{answer: controller.Answer{Status: 503, Body: filledValue[protocol.ErrorResponse](), RetryAfter: 2}}
	heartbeat := stubCore{answer: controller.Answer{Status: 200}, reply: filledValue[protocol.HeartbeatResponse]()}
	redirect := stubCore{answer: controller.Answer{Status: 421}, reply: filledValue[protocol.Redirect]()}
	down := stubCore{err: controller.ErrStoreUnavailable}
	const runs, settings, red = "/v2/runs", "/admin/v1/settings", "/admin/v1/teams/red"
	for _, test := range []struct {
		name, method, path, body string
		core                     stubCore
	}{
		{"submit", "POST", runs, `{"id":"job-000001"}`, success},
		{"submit-busy", "POST", runs, `{}`, busy},
		{"query", "GET", runs + "/job-000001", "", success},
		{"query-busy", "GET", runs + "/job-000001", "", busy},
		{"cancel", "POST", runs + "/job-000001/cancel", "", success},
		{"cancel-busy", "POST", runs + "/job-000001/cancel", "", busy},
		{"list-of-runs", "GET", runs, "", success},
		{"no-such-path", "GET", "/v2/Runs/job-000001", "", success},
		{"ready", "GET", "/ready", "", success},
		{"ready-starting", "GET", "/ready", "", stubCore{notReady: true}},
		{"beat", "POST", "/agent/beat", workerHeartbeat, heartbeat},
		{"beat-redirect", "POST", "/agent/beat", workerHeartbeat, redirect},
		{"beat-malformed", "POST", "/agent/beat", `{"host":"a/b"}`, heartbeat},
		{"beat-unanswered", "POST", "/agent/beat", workerHeartbeat, stubCore{}},
		{"settings", "GET", settings, "", stubCore{}},
		{"settings-down", "GET", settings, "", down},
		{"settings-change", "PUT", settings, `{"version":7,"settings":{"alpha":0.5}}`, stubCore{}},
		{"settings-no-json", "PUT", settings, `x`, stubCore{}},
		{"settings-no-version", "PUT", settings, `{"settings":{}}`, stubCore{}},
		{"settings-old-version", "PUT", settings, `{"version":6,"settings":{}}`, stubCore{err: controller.ErrVersionConflict}},
		{"settings-bad-field", "PUT", settings, `{"version":7,"settings":{}}`, stubCore{err: &controller.FieldError{Field: "alpha", Expected: "0 to 1"}}},
		{"settings-change-down", "PUT", settings, `{"version":7,"settings":{}}`, down},
		{"settings-deleted", "DELETE", settings, "", stubCore{}},
		{"teams", "GET", "/admin/v1/teams", "", stubCore{}},
		{"teams-down", "GET", "/admin/v1/teams", "", down},
		{"team", "GET", red + "%20%2F1", "", stubCore{}},
		{"team-unknown", "GET", red, "", stubCore{err: controller.ErrUnknownTeam}},
		{"team-with-percent", "GET", "/admin/v1/teams/%25zz", "", stubCore{}},
		{"team-change", "PUT", red, `{"version":7,"team":{"cpus":8}}`, stubCore{}},
		{"team-no-json", "PUT", red, `x`, stubCore{}},
		{"team-no-version", "PUT", red, `{"team":{}}`, stubCore{}},
		{"team-gate", "PUT", red, `{"version":7,"team":{}}`, stubCore{err: &controller.LayoutGateError{Members: []string{"n1", "n2"}}}},
		{"nodes", "GET", "/admin/v1/nodes", "", stubCore{}},
		{"shares", "GET", "/admin/v1/shares", "", stubCore{}},
		{"jobs", "GET", "/admin/v1/jobs?team=red&after=job-000001&limit=5", "", stubCore{}},
		{"jobs-default-limit", "GET", "/admin/v1/jobs", "", stubCore{}},
		{"jobs-limit-too-high", "GET", "/admin/v1/jobs?limit=201", "", stubCore{}},
		{"machines", "GET", "/admin/v1/machines?after=m&limit=5", "", stubCore{}},
		{"machines-limit-too-low", "GET", "/admin/v1/machines?limit=0", "", stubCore{}},
		{"machine", "GET", "/admin/v1/machines/host-000231", "", stubCore{}},
		{"machine-unknown", "GET", "/admin/v1/machines/host-000231", "", stubCore{notFound: true}},
		{"machine-down", "GET", "/admin/v1/machines/host-000231", "", down},
		{"evictions", "GET", "/admin/v1/evictions", "", stubCore{}},
		{"view", "GET", "/admin/v1/view?team=red&epoch=1&seq=2&wait_ms=3", "", stubCore{}},
		{"view-off", "GET", "/admin/v1/view", "", stubCore{notReady: true}},
		{"view-unknown-team", "GET", "/admin/v1/view?team=grey", "", stubCore{}},
		{"view-unread", "GET", "/admin/v1/view", "", stubCore{notFound: true}},
		{"view-bad-cursor", "GET", "/admin/v1/view?wait_ms=2001", "", stubCore{}},
		{"reasons", "GET", "/admin/v1/view/reasons?team=red&jobs=job-000001,job-000002", "", stubCore{}},
		{"reasons-of-nothing", "GET", "/admin/v1/view/reasons", "", stubCore{}},
		{"reasons-down", "GET", "/admin/v1/view/reasons?jobs=job-000001", "", down},
		{"metrics", "GET", "/metrics", "", stubCore{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			app := publicApp(&test.core)
			if strings.HasPrefix(test.path, "/admin") || test.path == "/metrics" {
				app = adminApp(&test.core)
			}
			answer := requestText(t, app, test.method, test.path, test.body)
			golden.CheckText(t, "answer-"+test.name+".txt", test.method+" "+test.path+"\n"+answer+"core: "+test.core.calls+"\n")
		})
	}
}

// TestGoldenTooLarge compares the answer to a body that is rejected without being read with a golden
// file.
func TestGoldenTooLarge(t *testing.T) {
	conns := make(chan net.Conn)
	server := NewPublicServer(&stubCore{}, 500, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(&pipeListener{conns}) }() // ends with the test
	local, remote := net.Pipe()
	conns <- remote
	if _, err := fmt.Fprintf(local, "POST /v2/runs HTTP/1.1\r\nHost: node\r\nContent-Length: %d\r\n\r\n", maxReadBody+1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(local), nil)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckText(t, "answer-submit-too-large.txt", answerText(resp, readBody(t, resp)))
}

// requestText sends a request to a server and returns the answer as text.
func requestText(t *testing.T, app *fiber.App, method, path, body string) string {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	resp, err := app.Test(request, -1)
	if err != nil {
		t.Fatal(err)
	}
	return answerText(resp, readBody(t, resp))
}

// answerText formats the status, headers and body of an answer.
func answerText(resp *http.Response, raw []byte) string {
	if resp.Header.Get("Content-Type") == "application/octet-stream" {
		raw = []byte("(a page of the view)") // it contains the current time
	}
	resp.Header.Del("Date")
	resp.Header.Del("Content-Length")
	return fmt.Sprintf("%d\n%s\n%s\n", resp.StatusCode, headers(resp.Header), raw)
}

// readBody reads and closes the body of an answer.
func readBody(t *testing.T, resp *http.Response) []byte {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return raw
}

// headers formats headers, ordered by name.
func headers(header http.Header) string {
	var text strings.Builder
	_ = header.Write(&text) // a strings.Builder never returns an error
	return strings.ReplaceAll(text.String(), "\r\n", "\n")
}
