package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dykeledge/internal/protocol"
)

// TestMain lets the test binary be the program, so that tests start real processes.
func TestMain(m *testing.M) {
	if os.Getenv("DYKECTL_AS_PROGRAM") == "1" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// testProgram runs the program for a test, with a configuration file.
type testProgram struct {
	t          *testing.T
	configFile string
}

// command is the program with arguments, which is killed if it still runs when the test is over.
func (p testProgram) command(args ...string) *exec.Cmd {
	cmd := exec.CommandContext(p.t.Context(), os.Args[0], args...)
	cmd.Env = append(os.Environ(), "DYKECTL_AS_PROGRAM=1", "DYKECTL_CONFIG="+p.configFile)
	return cmd
}

// run runs the program with arguments to its end.
func (p testProgram) run(args ...string) (out, errs string, code int) {
	p.t.Helper()
	cmd := p.command(args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		p.t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

func TestExitCodesAndOutput(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := file("bad.toml", "current = \"x\"\n")
	dead := file("dead.toml", "current = \"x\"\n[contexts.x]\nusers = \"127.0.0.1:1\"\nnodes = [\"127.0.0.1:1\"]\n")
	for _, test := range []struct {
		conf string
		args string
		code int
		want string // in either output
	}{
		{"", "version", 0, "dykectl"},
		{"", "--help", 0, "Exit codes"},
		{"", "completion bash", 0, "bash completion"},
		{"", "frobnicate", 2, "unknown command"},
		{"", "status", 2, "at least 1 arg"},
		{"", "status job-000001", 2, "dykectl up"},
		{"", "status job-000001 --context none", 2, "no context"},
		{"", "console", 2, "dykectl up"},
		{"", "show jobs", 2, "no table"},
		{"", "show queue --output xml", 2, "--output"},
		{"", "version --log-level loud", 2, "--log-level"},
		{"", "config check " + bad, 2, "field current"},
		{"", "config check " + dead, 0, "1 contexts"},
		{bad, "status job-000001", 2, "field current"},
		{dead, "status job-1", 2, "like job-000412"},
		{dead, "status job-000001", 1, "no answer"},
		{dead, "submit", 2, "crew"},
		{dead, "submit --team red --priority urgent", 2, "--priority"},
		{dead, "submit --file " + bad, 2, "JSON"},
		{dead, "console", 2, "terminal"},
		{dead, "report --file x.txt", 2, ".html"},
		{dead, "report --file x.html --from tomorrow", 2, "invalid time"},
		{dead, "report --file x.html", 2, "--history"},
		{dead, "record", 2, "--file"},
		{dead, "load " + bad, 2, "current"},
		{"", "up --machines 0", 2, "--machines"},
		{"", "up --controller /nowhere", 2, "/nowhere"},
		{"", "up --controller /bin/true --fail " + bad, 2, "current"},
	} {
		t.Run(strings.ReplaceAll(test.args, dir, ""), func(t *testing.T) {
			conf := test.conf
			if conf == "" {
				conf = filepath.Join(dir, "none.toml")
			}
			out, errs, code := testProgram{t, conf}.run(strings.Fields(test.args)...)
			if code != test.code || !strings.Contains(out+errs, test.want) || (code != 0) != (errs != "") || strings.Count(errs, "\n") > 1 {
				t.Errorf("exit %d, %q, %q; want exit %d and %q", code, out, errs, test.code, test.want)
			}
		})
	}
}

// lockedBuffer is what a running program has written; it may be read meanwhile.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestClusterOnOneMachine does what a newcomer would: a cluster with faults, jobs, a load, the
// view, a report, and the end of it all.
func TestClusterOnOneMachine(t *testing.T) {
	dir := t.TempDir()
	controller := filepath.Join(dir, "dykeledge")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", controller, "dykeledge/cmd/dykeledge").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	dykectl := testProgram{t, filepath.Join(dir, "dykectl.toml")}
	faults := filepath.Join(dir, "faults.toml")
	if err := os.WriteFile(faults, []byte("[[fault]]\nat_s = 6\nkind = \"crash\"\nnode = \"n1\"\n[[fault]]\nat_s = 9\nkind = \"cut\"\nnode = \"n2\"\nfor_s = 2\n[[fault]]\nat_s = 8\nkind = \"taken\"\npart = 0.3\nnotice_s = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	command := dykectl.command("up", "--controller", controller, "--dir", filepath.Join(dir, "up"), "--machines", "12", "--speed", "8", "--fail", faults, "--log-level", "info")
	var upOut, upErr lockedBuffer
	command.Stdout, command.Stderr = &upOut, &upErr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{})
	go func() { _ = command.Wait(); close(over) }()
	t.Cleanup(func() { _ = command.Process.Kill(); <-over })
	eventually := func(what string, f func() bool) {
		t.Helper()
		for range 600 { // only a bound: a slow machine takes longer, not another way
			if f() {
				return
			}
			select {
			case <-over:
				t.Fatalf("%s: the cluster has ended: %s %s", what, upOut.String(), upErr.String())
			case <-time.After(100 * time.Millisecond):
			}
		}
		t.Fatalf("never: %s", what)
	}
	eventually("a context", func() bool { out, _, _ := dykectl.run("config", "contexts"); return strings.Contains(out, "local") })
	// A controller lists no job that ended before its own process had read the records, and n1 is asked
	// first: it was chance whether it listed a job that was done before its crash.
	eventually("n1 has crashed", func() bool { return strings.Contains(upErr.String(), "controller=n1 asked=true") })
	eventually("n1 answers again", func() bool {
		out, _, code := dykectl.run("show", "nodes", "-o", "json")
		var head struct{ Node string }
		return code == 0 && json.Unmarshal([]byte(out), &head) == nil && head.Node == "n1"
	})

	out, errs, code := dykectl.run("submit", "--id", "job-000412", "--team", "red", "--class", "train", "--tasks", "4", "--estimate", "8s", "--due", "5m", "-o", "json")
	if code != 0 || !strings.Contains(out, "job-000412") {
		t.Fatalf("submit: %d %s %s", code, out, errs)
	}
	if out, errs, code = dykectl.run("submit", "--team", "blue", "--after", "job-000412", "--estimate", "2s"); code != 0 {
		t.Errorf("a pipeline: %d %s %s", code, out, errs)
	}
	if _, errs, code := dykectl.run("submit", "--team", "grey"); code != 1 || !strings.Contains(errs, "unknown team") {
		t.Errorf("an unknown team: %d %s", code, errs)
	}
	if out, errs, code = dykectl.run("submit", "--id", "job-000413", "--team", "green", "--tasks", "2", "--service"); code != 0 {
		t.Errorf("a service: %d %s %s", code, out, errs)
	}
	if _, errs, code := dykectl.run("status", "job-000414"); code != 1 || !strings.Contains(errs, "no such job") {
		t.Errorf("a job of nobody: %d %s", code, errs)
	}
	profile := filepath.Join(dir, "load.toml")
	if err := os.WriteFile(profile, []byte("for_s = 8\n[[stream]]\nteam = \"guest\"\nper_minute = 300\ncpus = [0.5, 1]\nrun_s = [2, 8]\n[[stream]]\nteam = \"red\"\npriority = \"high\"\nper_minute = 60\nrun_s = [4]\ndue_in = 50\ncancel_part = 0.3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, code = dykectl.run("load", profile, "--seed", "3", "--poll", "1s", "-o", "json")
	var res struct{ Jobs, Accepted, Done, Cancelled, Open int }
	if err := json.Unmarshal([]byte(out), &res); err != nil || code != 0 || res.Accepted != res.Jobs || res.Done+res.Cancelled != res.Jobs || res.Jobs < 20 {
		t.Errorf("load: %d %s %s %v", code, out, errs, err)
	}
	eventually("done", func() bool {
		out, _, code := dykectl.run("status", "job-000412", "-o", "json")
		var list []protocol.JobState
		return code == 0 && json.Unmarshal([]byte(out), &list) == nil && list[0].Status == protocol.Done
	})
	for table, want := range map[string]string{"teams": "BORROWED", "nodes": "n3", "machines": "host-", "running": "job-000413", "finished": "job-000412", "queue": "revision", "evictions": "revision"} {
		eventually("show "+table, func() bool {
			out, _, code := dykectl.run("show", table)
			return code == 0 && strings.Contains(out, want)
		})
	}
	out, _, code = dykectl.run("show", "finished", "--team", "red", "-o", "json")
	if code != 0 || !strings.Contains(out, "job-000412") || strings.Contains(out, "guest") || strings.Contains(out, "job-000413") {
		t.Errorf("a team's view: %d %s", code, out)
	}
	if _, errs, code := dykectl.run("show", "teams", "--team", "nobody"); code != 1 || !strings.Contains(errs, "no such team") {
		t.Errorf("a team of nobody: %d %s", code, errs)
	}
	if out, errs, code = dykectl.run("cancel", "job-000413"); code != 0 || !strings.Contains(out, "cancelled") {
		t.Errorf("cancel: %d %s %s", code, out, errs)
	}
	page := filepath.Join(dir, "page.html")
	eventually("a report", func() bool {
		out, _, code := dykectl.run("report", "--team", "red", "--file", page)
		raw, err := os.ReadFile(page)
		return code == 0 && err == nil && strings.Contains(string(raw), "Team red") && !strings.Contains(string(raw), "guest") && !strings.Contains(out, " 0 jobs")
	})
	if _, errs, code := dykectl.run("up", "--controller", controller); code != 2 || !strings.Contains(errs, "--context") {
		t.Errorf("a second cluster of the name: %d %s", code, errs)
	}
	if err := command.Process.Signal(syscall.SIGINT); err != nil {
		t.Fatal(err)
	}
	select {
	case <-over:
	case <-time.After(time.Minute):
		t.Fatal("it does not end")
	}
	if code := command.ProcessState.ExitCode(); code != 0 || !strings.Contains(upOut.String(), "tasks started") {
		t.Errorf("exit %d\n%s\n%s", code, upOut.String(), upErr.String())
	}
	if !strings.Contains(upErr.String(), "asked=true") {
		t.Error("no controller was crashed")
	}
	if out, _, _ := dykectl.run("config", "contexts"); strings.Contains(out, "local") {
		t.Error("the context of an ended cluster is left")
	}
	if found, _ := exec.CommandContext(t.Context(), "pgrep", "-f", controller).Output(); len(found) > 0 {
		t.Errorf("processes are left: %s", found)
	}
}
