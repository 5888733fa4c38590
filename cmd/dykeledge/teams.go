package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/controller"
	"dykeledge/internal/textout"
	"dykeledge/internal/wait"
)

// teamsSetCommand changes a team, conditional on what the controller says of it now.
func (c *adminClient) teamsSetCommand() *cobra.Command {
	return &cobra.Command{Use: "set TEAM NAME=VALUE...", Short: "Change a team's guarantee or limit: cpus, cpus_max, gpus, gpus_max", Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.setTeam(cmd.OutOrStdout(), args[0], args[1:])
		}}
}

func (c *adminClient) setTeam(out io.Writer, name string, values []string) error {
	if err := c.check(); err != nil {
		return err
	}
	change, err := parseChange(values)
	if err != nil {
		return invalidUsage(err)
	}
	team, err := c.Team(name)
	if err != nil {
		return err
	}
	changed, err := c.Change(name, team.Version, change)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(changed)
}

// moveTimeout is how long a move waits for the lowered limit to count.
const moveTimeout = 10 * time.Minute

// inForcePollInterval is the time between two questions whether it counts.
const inForcePollInterval = time.Second

// teamsMoveCommand moves a part of a team's limit from one cell to another.
func (c *adminClient) teamsMoveCommand() *cobra.Command {
	var to string
	var cpus float64
	command := &cobra.Command{Use: "move TEAM", Short: "Move a part of a team's limit from this node's cell to another cell", Args: cobra.ExactArgs(1),
		Long: "Move a part of a team's limit from this node's cell to another cell. It is lowered here, and raised there once it is in\n" +
			"force here: whatever fails in between, the cells' limits add up to no more than before. What is left to do then is told.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := c.check(); err != nil {
				return err
			}
			if to == "" || !(cpus > 0) {
				return invalidUsage(errors.New("--to ADDRESS and --cpus above 0 are needed"))
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), moveTimeout)
			defer cancel()
			other := &adminClient{address: to, output: c.output}
			if err := moveLimit(ctx, c, other, args[0], cpus, inForcePollInterval, cmd.OutOrStdout()); err != nil {
				return failed(err)
			}
			return nil
		}}
	command.Flags().StringVar(&to, "to", "", "peer_listen `ADDRESS` of any node of the other cell")
	command.Flags().Float64Var(&cpus, "cpus", 0, "`CPUS` of the limit that move")
	return command
}

// teamsAPI is what a move needs of a cell's administration API.
type teamsAPI interface {
	Team(name string) (controller.TeamView, error)
	Change(name string, version uint64, change json.RawMessage) (controller.TeamView, error)
}

// moveLimit moves CPUs of a team's limit from one cell to another: lowered and in force in the first, then raised in the second.
// Each change is conditional on the version that was read, and is made once: one whose answer is lost is looked for, never
// repeated. An error says what was done and what is left to do.
func moveLimit(ctx context.Context, from, to teamsAPI, team string, cpus float64, pollInterval time.Duration, out io.Writer) error {
	destination, err := to.Team(team)
	if err != nil {
		return fmt.Errorf("nothing was changed: the other cell: %w", err)
	}
	source, err := from.Team(team)
	if err != nil {
		return fmt.Errorf("nothing was changed: %w", err)
	}
	if source.CpusMax <= cpus || destination.CpusMax <= 0 {
		return fmt.Errorf("nothing was changed: limits are %g and %g CPUs, 0 is none: both need one, and the first more than %g", source.CpusMax, destination.CpusMax, cpus)
	}
	progress := textout.New(out) // what cannot be told must not stop a move halfway
	lowered, raised := source.CpusMax-cpus, destination.CpusMax+cpus
	if _, err := from.Change(team, source.Version, limitChange(lowered)); err != nil {
		return fmt.Errorf("it is not certain whether the limit was lowered to %g CPUs in the first cell, and it was not raised in the other: %w", lowered, err)
	}
	progress.Printf("lowered to %g CPUs in the first cell\n", lowered)
	if err := awaitInForce(ctx, from, team, lowered, pollInterval); err != nil {
		return fmt.Errorf("the limit is being lowered to %g CPUs in the first cell; once it is in force there, raise it to %g in the other: %w", lowered, raised, err)
	}
	progress.Println("in force there")
	if _, err := to.Change(team, destination.Version, limitChange(raised)); err != nil {
		return fmt.Errorf("the limit is %g CPUs in the first cell; it is not certain whether it was raised to %g in the other: look, and raise it if not: %w", lowered, raised, err)
	}
	progress.Printf("raised to %g CPUs in the other cell\n", raised)
	return nil
}

func limitChange(cpus float64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"cpus_max":%g}`, cpus))
}

// errTeamChanged says that somebody else has changed the team meanwhile.
var errTeamChanged = errors.New("somebody else has changed the team meanwhile")

// awaitInForce waits until a lowered limit is in force in a cell.
func awaitInForce(ctx context.Context, cell teamsAPI, team string, cpusMax float64, pollInterval time.Duration) error {
	for {
		current, err := cell.Team(team)
		switch {
		case err == nil && current.CpusMax != cpusMax:
			return errTeamChanged
		case err == nil && current.State == controller.TeamInForce:
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return errors.Join(ctx.Err(), err)
		}
	}
}
