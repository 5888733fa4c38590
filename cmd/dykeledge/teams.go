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

// teamsSetCommand returns the command that changes a team. The change is conditional on the version of the
// team's entry that the command reads first.
func (c *adminClient) teamsSetCommand() *cobra.Command {
	return &cobra.Command{Use: "set TEAM NAME=VALUE...", Short: "Change a team's guarantee or limit: cpus, cpus_max, gpus, gpus_max", Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.setTeam(cmd.OutOrStdout(), args[0], args[1:])
		}}
}

// setTeam changes the values that are given as NAME=VALUE, on condition of the version that it reads first, and
// prints the changed entry as JSON.
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

// moveTimeout limits the time of a whole move, most of which is spent until the lowered limit is in force.
const moveTimeout = 10 * time.Minute

// inForcePollInterval is the time between two requests that check whether a lowered limit is in force.
const inForcePollInterval = time.Second

// teamsMoveCommand returns the command that moves a part of a team's limit from one cell to another.
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

// teamsAPI is the part of a cell's administration API that a move uses.
type teamsAPI interface {
	Team(name string) (controller.TeamView, error)
	Change(name string, version uint64, change json.RawMessage) (controller.TeamView, error)
}

// moveLimit moves CPUs of a team's limit from one cell to another. It lowers the limit in the first cell, waits until
// that is in force, and only then raises it in the other, so that the limits in force never add up to more than before.
// Each change is conditional on the version that was read, and is sent once: a change whose answer is lost is not
// repeated. The error tells what was done and what is left to do.
func moveLimit(ctx context.Context, from, to teamsAPI, team string, cpus float64, pollInterval time.Duration, out io.Writer) error {
	destination, err := to.Team(team)
	if err != nil {
		return fmt.Errorf("nothing was changed: cannot read the team in the other cell: %w", err)
	}
	source, err := from.Team(team)
	if err != nil {
		return fmt.Errorf("nothing was changed: cannot read the team in the first cell: %w", err)
	}
	if source.CpusMax <= cpus || destination.CpusMax <= 0 {
		return fmt.Errorf("nothing was changed: the limits are %g CPUs in the first cell and %g in the other (0: no limit); both must be set, and the first must be above %g", source.CpusMax, destination.CpusMax, cpus)
	}
	progress := textout.New(out) // write errors are ignored: they must not stop a move halfway
	lowered, raised := source.CpusMax-cpus, destination.CpusMax+cpus
	if _, err := from.Change(team, source.Version, limitChange(lowered)); err != nil {
		return fmt.Errorf("the limit may or may not have been lowered to %g CPUs in the first cell; it was not raised in the other: %w", lowered, err)
	}
	progress.Printf("lowered to %g CPUs in the first cell\n", lowered)
	if err := awaitInForce(ctx, from, team, lowered, pollInterval); err != nil {
		return fmt.Errorf("the limit is being lowered to %g CPUs in the first cell; once it is in force there, raise it to %g in the other: %w", lowered, raised, err)
	}
	progress.Println("in force there")
	if _, err := to.Change(team, destination.Version, limitChange(raised)); err != nil {
		return fmt.Errorf("the limit is %g CPUs in the first cell; it may or may not have been raised to %g in the other: check it there, and raise it if it was not: %w", lowered, raised, err)
	}
	progress.Printf("raised to %g CPUs in the other cell\n", raised)
	return nil
}

// limitChange returns the JSON of a change of the CPU limit.
func limitChange(cpus float64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"cpus_max":%g}`, cpus))
}

// errTeamChanged is returned if the limit read during a move is not the one that the move set.
var errTeamChanged = errors.New("the team's limit was changed by another request during the move")

// awaitInForce waits until the limit cpusMax is in force in a cell. Failed requests are retried until ctx ends.
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
