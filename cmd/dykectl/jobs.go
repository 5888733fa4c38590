package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"dykeledge/internal/client"
	"dykeledge/internal/protocol"
)

// users speaks with the cluster as its users do, and says when it has to repeat itself.
func (a *app) users(addr string) *client.Users {
	u := client.New(addr)
	u.Retried = func(status int, err error) {
		a.log.Info("no certain answer, asking again", "status", status, "err", err)
	}
	return u
}

// outcome turns what a user's request came to into an exit code.
func outcome(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, client.ErrGaveUp) {
		err = fmt.Errorf("%w; the job may exist all the same: ask with dykectl status, or repeat the command with its id", err)
	}
	return failed(err)
}

func (a *app) printJobs(w io.Writer, list []protocol.JobState) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{s.ID, string(s.Status), strconv.Itoa(s.Done), strconv.Itoa(s.Running), strconv.Itoa(s.UnmetDependencies)})
	}
	return a.print(w, list, []string{"JOB", "STATUS", "DONE", "RUNNING", "AWAITS"}, rows)
}

func (a *app) submitCommand() *cobra.Command {
	var submission protocol.Submission
	var priority, file string
	var service, ordinary, fails, wait bool
	var estimate, run, checkpoint, save, due time.Duration
	command := &cobra.Command{
		Use: "submit", Short: "Submit a job", Args: cobra.NoArgs,
		Long: "Submit a job. A command that got no answer may be repeated with the same --id: there will be one job.",
		Example: "  dykectl submit --team red --tasks 8 --cpus 2 --estimate 30s --due 5m\n" +
			"  dykectl submit --file job.json        # as the protocol has it",
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, cluster, err := a.cluster()
			if err != nil {
				return err
			}
			var body []byte
			if file != "" {
				if body, err = os.ReadFile(file); err != nil {
					return usage(err)
				}
				p, err := protocol.ParseSubmission(body)
				if err != nil {
					return usage(fmt.Errorf("%s: %w", file, err))
				}
				submission = *p
			} else {
				prio, ok := protocol.ParsePriority(priority)
				if !ok {
					return usage(errors.New("--priority is low, normal, high or production"))
				}
				submission.Priority, submission.Spot = prio, !ordinary
				if service {
					submission.Shape, estimate = protocol.Service, 0
				}
				if submission.ID == "" {
					submission.ID = fmt.Sprintf("job-%012d", rand.Uint64N(1e12))
				}
				submission.EstimateS, submission.CheckpointS, submission.CheckpointCostS, submission.DeadlineS = estimate.Seconds(), checkpoint.Seconds(), save.Seconds(), due.Seconds()
				if body, err = protocol.EncodeSubmission(&submission); err != nil {
					return usage(err)
				}
				if _, err := protocol.ParseSubmission(body); err != nil {
					return usage(err)
				}
			}
			if cluster.Uploads != "" {
				if run == 0 {
					run = time.Duration(submission.EstimateS * float64(time.Second))
				}
				raw, err := client.Describe(body, run, fails)
				if err != nil {
					return usage(err)
				}
				if err := client.New(cluster.Uploads).Upload(submission.ID, raw); err != nil {
					return failed(err)
				}
			}
			users := a.users(cluster.Users)
			state, err := users.Submit(cmd.Context(), body)
			if err != nil {
				return outcome(fmt.Errorf("%s: %w", submission.ID, err))
			}
			for wait && !state.Status.Final() {
				select {
				case <-cmd.Context().Done():
					return failed(fmt.Errorf("%s goes on: it is %s", submission.ID, state.Status))
				case <-time.After(2 * time.Second):
				}
				if next, err := users.Status(submission.ID); err == nil {
					state = next
				}
			}
			return a.printJobs(cmd.OutOrStdout(), []protocol.JobState{state})
		},
	}
	flags := command.Flags()
	flags.StringVarP(&file, "file", "f", "", "submit what this `FILE` holds, as JSON; the other flags are not used")
	flags.StringVar(&submission.ID, "id", "", "the job's `ID`, like job-000412 (default: a new one)")
	flags.StringVar(&submission.Team, "team", "", "the `TEAM` whose guarantee and limit apply")
	flags.StringVar(&submission.Class, "class", "manual", "class of jobs that it belongs to")
	flags.StringVar(&priority, "priority", "normal", "low, normal, high or production")
	flags.IntVar(&submission.Tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&submission.Cpus, "cpus", 1, "processors of each task")
	flags.Float64Var(&submission.Gpus, "gpus", 0, "accelerators of each task")
	flags.Float64Var(&submission.MemGB, "mem", 1, "memory of each task in GB")
	flags.StringVar(&submission.Image, "image", "default", "image that a machine must have")
	flags.Float64Var(&submission.ImageGB, "image-gb", 0.2, "its size in GB")
	flags.StringSliceVar(&submission.Types, "type", nil, "allowed machine `TYPE` (may be repeated; default: any)")
	flags.StringVar(&submission.Zone, "zone", "", "the only allowed `ZONE`")
	flags.BoolVar(&submission.OneZone, "same-zone", false, "all tasks in one zone")
	flags.BoolVar(&submission.Spread, "half-a-zone", false, "at most half of the tasks in one zone")
	flags.BoolVar(&ordinary, "ordinary", false, "no spot machines")
	flags.BoolVar(&service, "service", false, "runs until it is cancelled")
	flags.DurationVar(&estimate, "estimate", 10*time.Second, "how long a task will run")
	flags.DurationVar(&checkpoint, "checkpoint", 0, "progress after which a task saves (0: never)")
	flags.DurationVar(&save, "save", 0, "how long saving takes when it is stopped")
	flags.DurationVar(&due, "due", 0, "deadline, from now (0: none)")
	flags.StringSliceVar(&submission.Dependencies, "after", nil, "`ID` of a job that must be done before (may be repeated)")
	flags.DurationVar(&run, "run", 0, "on an emulated cluster: how long a task really runs (default: as estimated)")
	flags.BoolVar(&fails, "fails", false, "on an emulated cluster: it fails on every machine")
	flags.BoolVar(&wait, "wait", false, "wait until the job is over")
	return command
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status JOB...", Short: "Tell how jobs stand", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.each(cmd, args, func(u *client.Users, id string) (protocol.JobState, error) { return u.Status(id) })
	}}
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{Use: "cancel JOB...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.each(cmd, args, func(u *client.Users, id string) (protocol.JobState, error) { return u.Cancel(cmd.Context(), id) })
	}}
}

// each does something with each job and prints all that worked; the first error is returned.
func (a *app) each(cmd *cobra.Command, ids []string, do func(*client.Users, string) (protocol.JobState, error)) error {
	_, cluster, err := a.cluster()
	if err != nil {
		return err
	}
	for _, id := range ids {
		if !protocol.ValidJobID(id) {
			return usage(fmt.Errorf("%q is no job's id: they are like job-000412", id))
		}
	}
	users := a.users(cluster.Users)
	list := []protocol.JobState{}
	var first error
	for _, id := range ids {
		st, err := do(users, id)
		if err != nil {
			if first == nil {
				first = fmt.Errorf("%s: %w", id, err)
			}
			continue
		}
		list = append(list, st)
	}
	if len(list) > 0 {
		if err := a.printJobs(cmd.OutOrStdout(), list); err != nil {
			return failed(err)
		}
	}
	return outcome(first)
}
