package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"

	"dykeledge/internal/console"
	"dykeledge/internal/contexts"
	"dykeledge/internal/report"
	"dykeledge/internal/view"
	"dykeledge/internal/viewclient"
)

// minViewInterval is the minimum time between two requests for the view.
const minViewInterval = 500 * time.Millisecond

// viewTimeout is how long a command waits for the first complete snapshot of the view.
const viewTimeout = 15 * time.Second

// scopeFor returns the scope of the view that a command shows: that of the given team, of the context's team
// if none is given, or of all teams.
func scopeFor(team string, cluster contexts.Context) view.Scope {
	if team == "" {
		team = cluster.Team
	}
	return view.Scope(team)
}

// startFollower starts a goroutine that follows a cluster's view until ctx ends, or until it fails because the
// view is disabled on all controllers or the team does not exist. The result is sent to ended, which is
// buffered and need not be read.
func startFollower(ctx context.Context, cluster contexts.Context, shown view.Scope) (follower *viewclient.Follower, ended <-chan error) {
	follower = viewclient.NewFollower(viewclient.NewHTTP(cluster.Nodes), shown, minViewInterval)
	result := make(chan error, 1)
	go func() { result <- follower.Run(ctx) }()
	return follower, result
}

func (a *app) showCommand() *cobra.Command {
	var team, filter string
	var names []string
	for _, t := range console.Tables() {
		names = append(names, t.Name)
	}
	command := &cobra.Command{
		Use: "show " + strings.Join(names, "|"), Short: "Show one of the console's tables, for people or scripts", Args: cobra.ExactArgs(1), ValidArgs: names,
		RunE: func(cmd *cobra.Command, args []string) error {
			var table *console.Table
			for _, t := range console.Tables() {
				if t.Name == args[0] {
					table = &t
				}
			}
			if table == nil {
				return usageError(fmt.Errorf("no table %q: expected one of %s", args[0], strings.Join(names, ", ")))
			}
			_, cluster, err := a.selectedContext()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), viewTimeout)
			defer cancel()
			follower, ended := startFollower(ctx, cluster, scopeFor(team, cluster))
			state, err := awaitSnapshot(ctx, follower, ended)
			if err != nil {
				return failed(err)
			}
			return a.show(ctx, cmd.OutOrStdout(), follower, state, *table, filter)
		},
	}
	command.Flags().StringVar(&team, "team", "", "only what this `TEAM` may see")
	command.Flags().StringVar(&filter, "filter", "", "only rows that hold a `TEXT`")
	return command
}

// awaitSnapshot waits for the first complete snapshot of the view.
func awaitSnapshot(ctx context.Context, follower *viewclient.Follower, ended <-chan error) (*viewclient.State, error) {
	for {
		changed := follower.Changed()
		if state := follower.State(); state.Snapshot != nil {
			return state, nil
		}
		select {
		case <-changed:
		case err := <-ended:
			if err == nil {
				err = errors.New(follower.State().Warning)
			}
			return nil, err
		case <-ctx.Done():
			return nil, fmt.Errorf("no complete view of the cluster received: %s", follower.State().Warning)
		}
	}
}

// show prints the table, or its rows as JSON. The queue also gets the reasons why its jobs wait; they are
// requested separately.
func (a *app) show(ctx context.Context, out io.Writer, follower *viewclient.Follower, state *viewclient.State, table console.Table, filter string) error {
	now := state.NowMs + time.Since(state.RequestedAt).Milliseconds()
	rows := table.Rows(state, now, nil, 0, false, filter)
	var why map[string]viewclient.WaitReason
	if table.Name == console.Queue {
		var ids []string
		for _, r := range rows {
			ids = append(ids, r.Key)
		}
		why = follower.Reasons(ctx, ids)
		rows = table.Rows(state, now, why, 0, false, filter)
	}
	if a.output == outputJSON {
		return a.print(out, jsonTable(state, table, rows, why), nil, nil)
	}
	var titles []string
	for _, c := range table.Columns {
		titles = append(titles, c.Title)
	}
	cells := make([][]string, len(rows))
	for i, r := range rows {
		cells[i] = r.Cells
	}
	if err := a.print(out, nil, titles, cells); err != nil {
		return failed(err)
	}
	_, err := fmt.Fprintf(out, "revision %d, %.1f s old\n", state.Revision, state.Age(time.Now()).Seconds())
	return err
}

// jsonTable returns the JSON form of a table: the view's records behind the rows, with the head of the view.
func jsonTable(state *viewclient.State, table console.Table, rows []console.Row, why map[string]viewclient.WaitReason) any {
	out := struct {
		view.Head
		AgeS  float64                `json:"age_s"`
		Items []any                  `json:"items"`
		Why   map[string]view.Reason `json:"why,omitempty"`
	}{Head: state.Head, AgeS: state.Age(time.Now()).Seconds(), Items: []any{}, Why: map[string]view.Reason{}}
	for id, w := range why {
		out.Why[id] = w.Reason
	}
	machines, evictions := map[string]*view.Machine{}, map[string]*view.VictimSet{}
	state.Machines(func(m *view.Machine) bool { machines[m.Name] = m; return true })
	state.VictimSets(func(e *view.VictimSet) bool { evictions[e.Key] = e; return true })
	for _, row := range rows {
		switch table.Name {
		case console.Queue, console.Running, console.Finished:
			out.Items = append(out.Items, state.Job(row.Key))
		case console.Machines:
			out.Items = append(out.Items, machines[row.Key])
		case console.VictimSets:
			out.Items = append(out.Items, evictions[row.Key])
		case console.Teams:
			if team := state.Team(row.Key); team != nil {
				out.Items = append(out.Items, team)
			}
		case console.Members:
			for i := range state.Members {
				if state.Members[i].Name == row.Key {
					out.Items = append(out.Items, state.Members[i])
				}
			}
		}
	}
	return out
}

func (a *app) consoleCommand() *cobra.Command {
	var team string
	var plain bool
	command := &cobra.Command{
		Use: "console", Short: "Watch the cluster on a screen that keeps itself up to date", Args: cobra.NoArgs,
		Long: "Watch the cluster on a screen that keeps itself up to date. Keys are told by ?. Colour is never needed to read it;\nNO_COLOR or --plain switch it off.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			name, cluster, err := a.selectedContext()
			if err != nil {
				return err
			}
			if stdoutInfo, err := os.Stdout.Stat(); err != nil || stdoutInfo.Mode()&os.ModeCharDevice == 0 {
				return usageError(errors.New("the console needs a terminal: use dykectl show in scripts"))
			}
			if plain {
				if err := os.Setenv("NO_COLOR", "1"); err != nil {
					return failed(err)
				}
			}
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			follower, ended := startFollower(ctx, cluster, scopeFor(team, cluster))
			model := console.New(ctx, follower, name)
			program := tea.NewProgram(model, tea.WithAltScreen(), tea.WithContext(ctx), tea.WithFPS(10))
			go func() {
				if err := <-ended; err != nil {
					program.Send(console.EndMsg{Err: err})
				}
			}()
			if _, err := program.Run(); err != nil && ctx.Err() == nil {
				return failed(err)
			}
			if model.Err() != nil {
				return failed(model.Err())
			}
			return nil
		},
	}
	command.Flags().StringVar(&team, "team", "", "only what this `TEAM` may see")
	command.Flags().BoolVar(&plain, "plain", false, "no colour")
	return command
}

func (a *app) recordCommand() *cobra.Command {
	var path string
	var interval time.Duration
	command := &cobra.Command{
		Use: "record", Short: "Record the cluster's history for reports, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.recordHistory(cmd.Context(), cmd.OutOrStdout(), path, interval)
		},
	}
	command.Flags().StringVar(&path, "file", "", "add to this `FILE` (default: the context's history)")
	command.Flags().DurationVar(&interval, "every", 10*time.Second, "time between samples")
	return command
}

// recordHistory appends a cluster's history to a file until ctx ends or the view cannot be followed any more.
// If path is "", the history file of the context is used.
func (a *app) recordHistory(ctx context.Context, out io.Writer, path string, interval time.Duration) (err error) {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	if path == "" {
		path = cluster.History
	}
	if path == "" || interval < time.Second {
		return usageError(errors.New("expected --file FILE or a context with a history, and --every of at least 1s"))
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return usageError(err)
	}
	defer func() {
		if closeErr := file.Close(); closeErr != nil && err == nil {
			err = failed(closeErr)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower, ended := startFollower(ctx, cluster, view.Operators)
	recorder := report.NewRecorder(file, interval)
	recorded := make(chan error, 1)
	go func() { recorded <- recorder.Run(ctx, follower) }()
	select {
	case err = <-ended:
		cancel()
		err = errors.Join(err, <-recorded)
	case err = <-recorded:
	}
	if err != nil {
		return failed(err)
	}
	_, err = fmt.Fprintf(out, "%d lines recorded in %s\n", recorder.LinesWritten, path)
	return err
}

// parseTime parses a point in time: now, a date with or without a time, a time of today, or a negative
// duration relative to now.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "now" {
		return now, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d <= 0 {
		return now.Add(d), nil
	}
	for _, layout := range []string{time.RFC3339, "2006-01-02 15:04:05", "2006-01-02 15:04", "2006-01-02"} {
		if t, err := time.ParseInLocation(layout, text, time.Local); err == nil {
			return t, nil
		}
	}
	if t, err := time.ParseInLocation("15:04", text, time.Local); err == nil {
		return time.Date(now.Year(), now.Month(), now.Day(), t.Hour(), t.Minute(), 0, 0, time.Local), nil
	}
	return now, fmt.Errorf("invalid time %q: expected 2006-01-02 15:04, 15:04 of today, or -24h", text)
}

// reportOptions holds the flags of the report command.
type reportOptions struct {
	team, from, to, outFile, title string
	histories                      []string
}

func (a *app) reportCommand() *cobra.Command {
	options := &reportOptions{}
	command := &cobra.Command{
		Use: "report", Short: "Make a page of what was recorded", Args: cobra.NoArgs,
		Example: "  dykectl report --team red --from 18:00 --to now --file morning.html",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.report(cmd.OutOrStdout(), options, time.Now())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.team, "team", "", "only what this `TEAM` may see (default: the context's, or all)")
	flags.StringVar(&options.from, "from", "-24h", "`TIME`: a date, a time of today, or a span before now")
	flags.StringVar(&options.to, "to", "now", "`TIME` before which it ends")
	flags.StringVar(&options.outFile, "file", "", "write the page to this `FILE.html`, and its figures to FILE.json beside it")
	flags.StringVar(&options.title, "title", "", "the page's title")
	flags.StringSliceVar(&options.histories, "history", nil, "read this `FILE` (may be repeated; default: the context's history)")
	return command
}

// report writes a report page of the histories, with a file of its figures, and prints the paths of both.
func (a *app) report(out io.Writer, options *reportOptions, now time.Time) error {
	begin, end, err := options.interval(now)
	if err != nil {
		return usageError(err)
	}
	if filepath.Ext(options.outFile) != ".html" {
		return usageError(errors.New("--file must be set and must end in .html"))
	}
	histories, shown, err := a.historyFiles(options)
	if err != nil {
		return err
	}
	history, err := report.Read(histories, shown, begin.UnixMilli(), end.UnixMilli())
	if err != nil {
		return failed(err)
	}
	if err := report.Make(history, options.titleFor(shown), shown, now).Write(options.outFile); err != nil {
		return failed(err)
	}
	_, err = fmt.Fprintf(out, "%s and %s: %d samples, %d jobs\n", options.outFile, report.FiguresPath(options.outFile), len(history.Samples), len(history.Jobs))
	return err
}

// interval returns the time range that the report covers.
func (o *reportOptions) interval(now time.Time) (begin, end time.Time, err error) {
	if begin, err = parseTime(o.from, now); err != nil {
		return begin, end, fmt.Errorf("--from: %w", err)
	}
	if end, err = parseTime(o.to, now); err != nil {
		return begin, end, fmt.Errorf("--to: %w", err)
	}
	if !end.After(begin) {
		return begin, end, errors.New("--to is not after --from")
	}
	return begin, end, nil
}

// historyFiles returns the history files to read and the scope of the report. With --history the context
// is not read, so that only --team sets the scope.
func (a *app) historyFiles(options *reportOptions) ([]string, view.Scope, error) {
	if len(options.histories) > 0 {
		return options.histories, view.Scope(options.team), nil
	}
	_, cluster, err := a.selectedContext()
	if err != nil {
		return nil, "", err
	}
	if cluster.History == "" {
		return nil, "", usageError(errors.New("the context has no history file: use --history FILE"))
	}
	return []string{cluster.History}, scopeFor(options.team, cluster), nil
}

// titleFor returns the report's title: that of --title, or a default that names the scope.
func (o *reportOptions) titleFor(shown view.Scope) string {
	switch {
	case o.title != "":
		return o.title
	case shown == view.Operators:
		return "Shares of all teams"
	}
	return "Share of team " + string(shown)
}
