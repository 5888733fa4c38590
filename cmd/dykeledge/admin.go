package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"dykeledge/internal/transport"
)

// client speaks with the administration API of one controller.
type client struct {
	node   string
	output string
}

func (cl *client) check() error {
	if cl.node == "" {
		return &exitError{exitUsage, errors.New("--node ADDRESS is missing: the peer_listen address of any node")}
	}
	if cl.output != "table" && cl.output != "json" {
		return &exitError{exitUsage, errors.New("--output is table or json")}
	}
	return nil
}

func (cl *client) call(method, path string, in any) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + cl.node + "/admin/v1" + path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		req.SetBodyRaw(raw)
	}
	hc := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := hc.DoTimeout(req, resp, 10*time.Second); err != nil {
		return nil, &exitError{exitFailed, fmt.Errorf("node %s does not answer: %w", cl.node, err)}
	}
	body := append([]byte(nil), resp.Body()...)
	if resp.StatusCode() != 200 {
		var r transport.AdminRefusal
		if json.Unmarshal(body, &r) != nil || r.Error == "" {
			r.Error = "status " + strconv.Itoa(resp.StatusCode())
		}
		return nil, &exitError{exitFailed, errors.New(r.Error)}
	}
	return body, nil
}

// show prints rows as a table or the answer as it came.
func (cl *client) show(out io.Writer, body []byte, columns []string) error {
	if cl.output == "json" {
		_, err := fmt.Fprintln(out, string(body))
		return err
	}
	var p struct {
		Items []map[string]any `json:"items"`
		More  bool             `json:"more"`
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return &exitError{exitFailed, fmt.Errorf("the node's answer cannot be read: %w", err)}
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range p.Items {
		cells := make([]string, len(columns))
		for i, c := range columns {
			cells[i] = cell(row[c])
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	if p.More {
		fmt.Fprintln(table, "... more: use --after with the last name")
	}
	return table.Flush()
}

func cell(v any) string {
	switch x := v.(type) {
	case nil:
		return "-"
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	case []any:
		parts := make([]string, len(x))
		for i, e := range x {
			if m, ok := e.(map[string]any); ok {
				parts[i] = fmt.Sprintf("%v/%v(%v)", cell(m["j"]), cell(m["t"]), cell(m["x"]))
			} else {
				parts[i] = cell(e)
			}
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(v)
}

// adminCommands are the operators' commands. The names leave room for the
// users' submit, queue, cancel and accounting.
func adminCommands() []*cobra.Command {
	mainClient := &client{}
	flags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&mainClient.node, "node", "", "peer_listen `ADDRESS` of any node")
		c.Flags().StringVar(&mainClient.output, "output", "table", "table or json")
		return c
	}
	var team, after string
	var limit int
	list := func(use, short, path string, paged bool, columns ...string) *cobra.Command {
		command := flags(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if err := mainClient.check(); err != nil {
				return err
			}
			query := url.Values{}
			if paged {
				query.Set("limit", strconv.Itoa(limit))
				query.Set("after", after)
			}
			if team != "" {
				query.Set("team", team)
			}
			body, err := mainClient.call("GET", path+"?"+query.Encode(), nil)
			if err != nil {
				return err
			}
			return mainClient.show(cmd.OutOrStdout(), body, columns)
		}})
		if paged {
			command.Flags().IntVar(&limit, "limit", 200, "rows at most, up to 200")
			command.Flags().StringVar(&after, "after", "", "begin after this `NAME`")
		}
		return command
	}
	jobs := list("jobs", "List unfinished jobs and why they wait", "/jobs", true,
		"id", "class", "team", "share", "priority", "status", "tasks", "done", "placed", "waiting", "age_s", "why")
	jobs.Flags().StringVar(&team, "team", "", "only this `TEAM`")
	settings := &cobra.Command{Use: "settings", Short: "Read or change the operators' settings"}
	settings.AddCommand(
		flags(&cobra.Command{Use: "get", Short: "Print the settings", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			if err := mainClient.check(); err != nil {
				return err
			}
			body, err := mainClient.call("GET", "/settings", nil)
			if err != nil {
				return err
			}
			return mainClient.showSettings(cmd.OutOrStdout(), body)
		}}),
		flags(&cobra.Command{Use: "set NAME=VALUE...", Short: "Change settings", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if err := mainClient.check(); err != nil {
				return err
			}
			change, err := parseChange(args)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			body, err := mainClient.call("GET", "/settings", nil)
			if err != nil {
				return err
			}
			var cur transport.SettingsView
			if err := json.Unmarshal(body, &cur); err != nil {
				return &exitError{exitFailed, fmt.Errorf("the node's answer cannot be read: %w", err)}
			}
			body, err = mainClient.call("PUT", "/settings", transport.SettingsChange{Version: &cur.Version, Settings: change})
			if err != nil {
				return err
			}
			return mainClient.showSettings(cmd.OutOrStdout(), body)
		}}))
	teams := list("teams", "List the teams with their guarantees and limits", "/teams", false,
		"name", "cpus", "cpus_max", "gpus", "gpus_max", "state", "cpus_to_go", "gpus_to_go", "behind", "version")
	teams.AddCommand(flags(mainClient.teamsSetCommand()), flags(mainClient.teamsMoveCommand()))
	return []*cobra.Command{settings, teams, jobs,
		list("nodes", "List the nodes", "/nodes", false, "name", "alive", "leader", "shares", "state_ok", "pulse_age_s"),
		list("shares", "List the shares", "/shares", false, "share", "owner", "teams", "machines", "cpus", "used_cpus", "waiting_cpus", "gpus", "used_gpus", "waiting_gpus", "token"),
		list("machines", "List the machines", "/machines", true, "name", "state", "share", "type", "zone", "spot", "tasks", "used_cpus", "used_gpus", "silent_s"),
		list("evictions", "List the latest evicted sets with their scores", "/evictions", false, "at", "job", "share", "victims"),
	}
}

// parseChange reads NAME=VALUE pairs; what is no number is text.
func parseChange(args []string) (json.RawMessage, error) {
	m := map[string]any{}
	for _, a := range args {
		name, value, ok := strings.Cut(a, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not NAME=VALUE", a)
		}
		if f, err := strconv.ParseFloat(value, 64); err == nil {
			m[name] = f
		} else {
			m[name] = value
		}
	}
	return json.Marshal(m)
}

func (cl *client) showSettings(out io.Writer, body []byte) error {
	if cl.output == "json" {
		_, err := fmt.Fprintln(out, string(body))
		return err
	}
	var v struct {
		Version  uint64         `json:"version"`
		Settings map[string]any `json:"settings"`
		Info     []struct {
			Name, Range, Reason string
			Default             any
		} `json:"info"`
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return &exitError{exitFailed, fmt.Errorf("the node's answer cannot be read: %w", err)}
	}
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "version\t%d\n", v.Version)
	if len(v.Info) == 0 {
		for name, x := range v.Settings {
			fmt.Fprintf(tw, "%s\t%s\n", name, cell(x))
		}
	}
	for _, i := range v.Info {
		fmt.Fprintf(tw, "%s\t%s\tdefault %s, %s\t%s\n", i.Name, cell(v.Settings[i.Name]), cell(i.Default), i.Range, i.Reason)
	}
	return tw.Flush()
}
