package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/simulator"
)

// TestMain runs the program instead of the tests if DYKELEDGE_AS_PROGRAM is set, so that tests can start the
// program as a process of the test binary.
func TestMain(m *testing.M) {
	if os.Getenv("DYKELEDGE_AS_PROGRAM") == "1" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// runProgram runs dykeledge with arguments until it exits, and returns its output and exit code.
func runProgram(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), "DYKELEDGE_AS_PROGRAM=1")
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	err := cmd.Run()
	if exited := (*exec.ExitError)(nil); err != nil && !errors.As(err, &exited) {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// listen returns a listener on a free port of a random loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	// The address is not 127.0.0.1: an outgoing connection from 127.0.0.1 could take the port after it was
	// chosen and before the controller listens there.
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// request sends one HTTP request and returns the status and the body of the answer. A body that is sent is
// JSON. The status is 0 if there was no answer.
func request(t *testing.T, method, url, body string) (status int, answer string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // an error does not matter: the body has been read
	raw, _ := io.ReadAll(response.Body)          // a truncated answer fails the caller's comparison
	return response.StatusCode, string(raw)
}

// writeSettings writes the settings file of controller i, which is one of those listening on the given public
// and peer addresses, and returns its path.
func writeSettings(t *testing.T, i int, public, peer []string, state, cloud string) string {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = \"n-%d\"\nzone = \"a\"\npublic_addr = %q\npeer_listen = %q\n", i, public[i], peer[i])
	for k := range peer {
		if k != i {
			fmt.Fprintf(&b, "[[known]]\nnode_name = \"n-%d\"\nzone = \"a\"\naddress = %q\n", k, peer[k])
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloud, state)
	b.WriteString(`[deployment]
nodes = 3
zones = ["a"]
clock_off_ms = 100.0
[[deployment.teams]]
name = "red"
[[deployment.teams]]
name = "blue"
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 500.0
write_rps = 300.0
value_kb = 32.0
txn_ops = 12
[deployment.cloud]
rps = 10.0
list_lag_s = 5.0
[deployment.resources]
cpu = 1.0
mem_mb = 200.0
max_connections = 500
`)
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// eventually waits until f returns true. It fails the test after 600 tries, 100 ms apart.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 600 { // only an upper bound, so that slow machines pass
		if f() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", what)
}

// TestExitCodesAndOutput checks the exit codes of commands and a part of their output. A failed command prints
// exactly one line to standard error, a successful one none.
func TestExitCodesAndOutput(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("node_name = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		args []string
		code int
		want string // in standard output or standard error
	}{
		{[]string{"version"}, 0, "dykeledge"},
		{[]string{"--help"}, 0, "--config"},
		{[]string{}, 2, "--config"},
		{[]string{"--config", bad}, 2, "field zone: expected"},
		{[]string{"check", bad}, 2, bad},
		{[]string{"check", "/nowhere"}, 2, "/nowhere"},
		{[]string{"nodes"}, 2, "--node"},
		{[]string{"nodes", "--node", "127.0.0.1:1"}, 1, "does not answer"},
		{[]string{"nodes", "--node", "127.0.0.1:1", "--output", "xml"}, 2, "--output"},
		{[]string{"settings", "set", "alpha", "--node", "127.0.0.1:1"}, 2, "NAME=VALUE"},
		{[]string{"submit"}, 2, "unknown command"},
	} {
		t.Run(strings.Join(test.args, " "), func(t *testing.T) {
			out, errs, code := runProgram(t, test.args...)
			if code != test.code || !strings.Contains(out+errs, test.want) || (code != 0) != (errs != "") || strings.Count(errs, "\n") > 1 {
				t.Errorf("exit %d, %q, %q; want exit %d and %q", code, out, errs, test.code, test.want)
			}
		})
	}
}

// TestThreeControllerProcesses starts three controllers as processes, submits jobs with dependencies to them,
// and runs the operators' commands against them.
func TestThreeControllerProcesses(t *testing.T) {
	public, peer := startControllers(t)
	awaitControllers(t, public, peer)
	eventually(t, "accepted", func() bool {
		status, _ := request(t, http.MethodPost, "http://"+public[0]+"/v2/runs", submission)
		return status == 201 || status == 200
	})
	t.Run("dependencies", func(t *testing.T) { checkDependencies(t, public) })
	t.Run("commands", func(t *testing.T) { checkCommands(t, peer) })
}

// startControllers starts three controllers, a state service and a cloud without capacity, and returns the
// controllers' addresses.
func startControllers(t *testing.T) (public, peer []string) {
	t.Helper()
	state, cloud := listen(t), listen(t)
	go func() { _ = simulator.ServeState(simulator.NewStore().Open(nil), state) }() // returns when its listener is closed
	simulation := simulator.NewSimulation(t.Context(), &config.Settings{Deployment: config.Deployment{Zones: []string{"a"}}}, 1)
	simulation.Capacity = 0
	simulation.Catalog.Types[0].Cpus = 8
	go func() { _ = simulation.ServeCloud(&simulator.ControllerProcess{Name: "all"}, cloud) }()
	for range 3 {
		for _, list := range []*[]string{&public, &peer} {
			ln := listen(t)
			*list = append(*list, ln.Addr().String())
			_ = ln.Close() // freed for the controller
		}
	}
	for i := range 3 {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "--config", writeSettings(t, i, public, peer, state.Addr().String(), cloud.Addr().String()))
		cmd.Env = append(os.Environ(), "DYKELEDGE_AS_PROGRAM=1")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	}
	return public, peer
}

// awaitControllers waits until three controllers are ready. It checks that the administration API is not served
// on the public address, and that the metrics are served on the peer address.
func awaitControllers(t *testing.T, public, peer []string) {
	t.Helper()
	get := func(url string) int {
		status, _ := request(t, http.MethodGet, url, "")
		return status
	}
	for i := range 3 {
		eventually(t, "ready", func() bool { return get("http://"+public[i]+"/ready") == 200 })
		if s := get("http://" + public[i] + "/admin/v1/settings"); s != 404 {
			t.Errorf("administration API on public_addr: status %d, want 404", s)
		}
		if s := get("http://" + peer[i] + "/metrics"); s != 200 {
			t.Errorf("metrics on peer_listen: status %d, want 200", s)
		}
	}
}

// submission is a job that is accepted although there is no machine to run it.
const submission = `{"id":"job-000412","jobclass":"train","crew":"red","shape":"batch","urgency":"high","shards":2,"cpus":8.0,"accelerators":0.0,
		"ramGb":4.0,"kit":"i","pullGb":1.0,"together":false,"scatter":false,"loaners":true,"expectedS":9.0,"markEveryS":0.0,"markCostS":0.0}`

// checkDependencies submits jobs with dependencies, as the README describes them. Once all three controllers have
// shown that they support the record layout this needs, any of them accepts such a job. A job that depends on one
// that was never accepted is rejected.
func checkDependencies(t *testing.T, public []string) {
	t.Helper()
	post := func(address, id, awaits string) (status int, answer string) {
		body := strings.Replace(strings.Replace(submission, "job-000412", id, 1), `"markCostS":0.0`, `"markCostS":0.0,"awaits":`+awaits, 1)
		return request(t, http.MethodPost, "http://"+address+"/v2/runs", body)
	}
	eventually(t, "a job with a dependency is accepted", func() bool {
		status, _ := post(public[1], "job-000413", `["job-000412"]`)
		return status == 201 || status == 200
	})
	for _, test := range []struct {
		id, awaits string
		status     int
		want       string
	}{
		{"job-000413", `["job-000412"]`, 200, `"awaiting":1`},
		{"job-000414", `["job-000399"]`, 422, "never accepted"},
		{"job-000414", `["job-000414"]`, 422, "never accepted"},
		{"job-000414", `"job-000412"`, 400, "awaits"},
		{"job-000414", `["412"]`, 400, "awaits"},
		{"job-000413", `["412"]`, 200, "job-000413"},
		{"job-000414", `[]`, 201, "queued"},
		{"job-000415", `["job-000413","job-000413",` + `"job-000414"]`, 201, "queued"},
	} {
		var status int
		var answer string
		eventually(t, test.id+test.awaits, func() bool {
			status, answer = post(public[2], test.id, test.awaits)
			return status != 503 && status != 0
		})
		if status != test.status && (test.status != 201 || status != 200) || !strings.Contains(answer, test.want) {
			t.Errorf("%s awaits %s: status %d, answer %s", test.id, test.awaits, status, answer)
		}
	}
}

// checkCommands checks the operators' commands against each of the controllers.
func checkCommands(t *testing.T, peer []string) {
	t.Helper()
	if out, errs, code := runProgram(t, "settings", "set", "alpha=0.5", "--node", peer[0]); code != 0 || !strings.Contains(out, "0.5") {
		t.Fatalf("settings set: exit code %d, output %s, errors %s", code, out, errs)
	}
	if _, errs, code := runProgram(t, "settings", "set", "alpha=7", "--node", peer[1]); code != 1 || !strings.Contains(errs, "alpha") {
		t.Errorf("setting out of range: exit code %d, errors %s", code, errs)
	}
	for _, c := range []struct{ command, want string }{
		{"settings get", "0.5"}, {"nodes", "n-2"}, {"shares", "red"}, {"machines", "NAME"}, {"evictions", "VICTIMS"}, {"jobs", "job-000412"},
	} {
		eventually(t, c.command, func() bool {
			out, _, code := runProgram(t, append(strings.Fields(c.command), "--node", peer[2])...)
			return code == 0 && strings.Contains(out, c.want)
		})
		if out, _, code := runProgram(t, append(strings.Fields(c.command), "--node", peer[1], "--output", "json")...); code != 0 || !strings.HasPrefix(out, "{") {
			t.Errorf("%s as JSON: exit code %d, output %s", c.command, code, out)
		}
	}
}
