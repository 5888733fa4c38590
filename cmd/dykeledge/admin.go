package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dykeledge/internal/textout"
)

// maxRows is the maximum number of rows in one page of the administration API.
const maxRows = 200

// adminCommands returns the operators' commands. Their names avoid submit, queue, cancel and accounting,
// which are reserved for users' commands.
func adminCommands() []*cobra.Command {
	client := &adminClient{}
	jobs := &listCommand{client: client, use: "jobs", short: "List unfinished jobs and why they wait", path: "/jobs", paged: true,
		columns: []string{"id", "class", "team", "share", "priority", "status", "tasks", "done", "placed", "waiting", "age_s", "why"}}
	jobsCommand := jobs.command()
	jobsCommand.Flags().StringVar(&jobs.team, "team", "", "only this `TEAM`")
	teams := &listCommand{client: client, use: "teams", short: "List the teams with their guarantees and limits", path: "/teams",
		columns: []string{"name", "cpus", "cpus_max", "gpus", "gpus_max", "state", "cpus_to_go", "gpus_to_go", "behind", "version"}}
	teamsCommand := teams.command()
	teamsCommand.AddCommand(client.addFlags(client.teamsSetCommand()), client.addFlags(client.teamsMoveCommand()))
	members := &listCommand{client: client, use: "nodes", short: "List the nodes", path: "/nodes",
		columns: []string{"name", "alive", "leader", "shares", "state_ok", "pulse_age_s"}}
	shards := &listCommand{client: client, use: "shares", short: "List the shares", path: "/shares",
		columns: []string{"share", "owner", "teams", "machines", "cpus", "used_cpus", "waiting_cpus", "gpus", "used_gpus", "waiting_gpus", "token"}}
	machines := &listCommand{client: client, use: "machines", short: "List the machines", path: "/machines", paged: true,
		columns: []string{"name", "state", "share", "type", "zone", "spot", "tasks", "used_cpus", "used_gpus", "silent_s"}}
	evictions := &listCommand{client: client, use: "evictions", short: "List the latest evicted sets with their scores", path: "/evictions",
		columns: []string{"at", "job", "share", "victims"}}
	return []*cobra.Command{client.settingsCommand(), teamsCommand, jobsCommand,
		members.command(), shards.command(), machines.command(), evictions.command()}
}

// addFlags adds the flags that all operators' commands share and returns the command.
func (c *adminClient) addFlags(command *cobra.Command) *cobra.Command {
	command.Flags().StringVar(&c.address, "node", "", "peer_listen `ADDRESS` of any node")
	command.Flags().StringVar(&c.output, "output", outputTable, "table or json")
	return command
}

// listCommand is a command that prints one of the lists of the administration API.
type listCommand struct {
	client  *adminClient
	use     string
	short   string
	path    string   // path of the list below /admin/v1
	paged   bool     // the list is returned in pages of up to limit rows
	columns []string // names of the fields in the answer, in the order of the table

	limit int
	after string // last name of the previous page
	team  string // only this team; "": all teams
}

// command returns the cobra command, with --limit and --after if the list is paged.
func (l *listCommand) command() *cobra.Command {
	command := l.client.addFlags(&cobra.Command{Use: l.use, Short: l.short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return l.run(cmd.OutOrStdout()) }})
	if l.paged {
		command.Flags().IntVar(&l.limit, "limit", maxRows, "rows at most, up to 200")
		command.Flags().StringVar(&l.after, "after", "", "begin after this `NAME`")
	}
	return command
}

// run requests the list and prints it.
func (l *listCommand) run(out io.Writer) error {
	if err := l.client.check(); err != nil {
		return err
	}
	body, err := l.client.call(fasthttp.MethodGet, l.path+"?"+l.query().Encode(), nil)
	if err != nil {
		return err
	}
	return l.client.printList(out, body, l.columns)
}

// query returns the query parameters of the request.
func (l *listCommand) query() url.Values {
	query := url.Values{}
	if l.paged {
		query.Set("limit", strconv.Itoa(l.limit))
		query.Set("after", l.after)
	}
	if l.team != "" {
		query.Set("team", l.team)
	}
	return query
}

// settingsCommand returns the command settings with its subcommands get and set.
func (c *adminClient) settingsCommand() *cobra.Command {
	command := &cobra.Command{Use: "settings", Short: "Read or change the operators' settings"}
	command.AddCommand(
		c.addFlags(&cobra.Command{Use: "get", Short: "Print the settings", Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return c.getSettings(cmd.OutOrStdout()) }}),
		c.addFlags(&cobra.Command{Use: "set NAME=VALUE...", Short: "Change settings", Args: cobra.MinimumNArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error { return c.setSettings(cmd.OutOrStdout(), args) }}))
	return command
}

func (c *adminClient) getSettings(out io.Writer) error {
	if err := c.check(); err != nil {
		return err
	}
	body, err := c.settings()
	if err != nil {
		return err
	}
	return c.printSettings(out, body)
}

// setSettings changes the settings that args name, as NAME=VALUE, and prints all settings.
func (c *adminClient) setSettings(out io.Writer, args []string) error {
	if err := c.check(); err != nil {
		return err
	}
	change, err := parseChange(args)
	if err != nil {
		return invalidUsage(err)
	}
	body, err := c.changeSettings(change)
	if err != nil {
		return err
	}
	return c.printSettings(out, body)
}

// parseChange converts NAME=VALUE pairs to a JSON object. A value that is not a number is sent as a string.
func parseChange(args []string) (json.RawMessage, error) {
	change := map[string]any{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not NAME=VALUE", arg)
		}
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			change[name] = number
		} else {
			change[name] = value
		}
	}
	return json.Marshal(change)
}

// printList prints the rows of an answer as a table, or the answer unchanged as JSON.
func (c *adminClient) printList(out io.Writer, body []byte, columns []string) error {
	if c.output == outputJSON {
		return printRaw(out, body)
	}
	var page struct {
		Items []map[string]any `json:"items"`
		More  bool             `json:"more"`
	}
	if err := decode(body, &page); err != nil {
		return err
	}
	table := textout.NewTable(out, 0)
	table.Println(strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range page.Items {
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = cellText(row[column])
		}
		table.Println(strings.Join(cells, "\t"))
	}
	if page.More {
		table.Println("... more: use --after with the last name")
	}
	return table.Flush()
}

// printSettings prints the settings as a table, with the default, range and reason of each if the answer has
// them, or the answer unchanged as JSON.
func (c *adminClient) printSettings(out io.Writer, body []byte) error {
	if c.output == outputJSON {
		return printRaw(out, body)
	}
	var answer struct {
		Version  uint64         `json:"version"`
		Settings map[string]any `json:"settings"`
		Info     []struct {
			Name, Range, Reason string
			Default             any
		} `json:"info"`
	}
	if err := decode(body, &answer); err != nil {
		return err
	}
	table := textout.NewTable(out, 0)
	table.Printf("version\t%d\n", answer.Version)
	if len(answer.Info) == 0 {
		for name, value := range answer.Settings {
			table.Printf("%s\t%s\n", name, cellText(value))
		}
	}
	for _, info := range answer.Info {
		table.Printf("%s\t%s\tdefault %s, %s\t%s\n", info.Name, cellText(answer.Settings[info.Name]), cellText(info.Default), info.Range, info.Reason)
	}
	return table.Flush()
}

// printRaw prints an answer unchanged.
func printRaw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintln(out, string(body))
	return err
}

// cellText returns the text of a value in a table. The elements of a list are separated by commas. A task
// in a list, such as a victim in an evicted set, is written as JOB/TASK(SCORE).
func cellText(value any) string {
	switch typed := value.(type) {
	case nil:
		return "-"
	case float64:
		return strconv.FormatFloat(typed, 'f', -1, 64)
	case []any:
		parts := make([]string, len(typed))
		for i, element := range typed {
			parts[i] = elementText(element)
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}

// elementText returns the text of one element of a list: an object is taken for a task with the fields j (job),
// t (task) and x (score).
func elementText(element any) string {
	if task, ok := element.(map[string]any); ok {
		return fmt.Sprintf("%v/%v(%v)", cellText(task["j"]), cellText(task["t"]), cellText(task["x"]))
	}
	return cellText(element)
}
