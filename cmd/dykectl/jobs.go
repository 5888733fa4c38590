package main

import (
	"context"
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
	"dykeledge/internal/wait"
)

// usersClient speaks with the cluster as its users do, and says when it has to repeat itself.
func (a *app) usersClient(address string) *client.Users {
	users := client.New(address)
	users.Retried = func(status int, err error) {
		a.log.Info("no certain answer, asking again", "status", status, "err", err)
	}
	return users
}

// requestError turns what a user's request came to into an exit code.
func requestError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, client.ErrGaveUp) {
		err = fmt.Errorf("%w; the job may exist all the same: ask with dykectl status, or repeat the command with its id", err)
	}
	return failed(err)
}

// printJobs prints how jobs stand.
func (a *app) printJobs(w io.Writer, list []protocol.JobState) error {
	var rows [][]string
	for _, s := range list {
		rows = append(rows, []string{s.ID, string(s.Status), strconv.Itoa(s.Done), strconv.Itoa(s.Running), strconv.Itoa(s.UnmetDependencies)})
	}
	return a.print(w, list, []string{"JOB", "STATUS", "DONE", "RUNNING", "AWAITS"}, rows)
}

// submitOptions are the flags of submit.
type submitOptions struct {
	job                                            protocol.Submission
	file, priority                                 string
	service, onDemandOnly                          bool
	estimate, checkpoint, checkpointCost, deadline time.Duration
	actualRunTime                                  time.Duration // on a local cluster: how long each task really runs; 0: as estimated
	alwaysFails                                    bool          // on a local cluster: it fails on every machine
	wait                                           bool
}

// submitPollInterval is the time between two questions for a job whose end is waited for.
const submitPollInterval = 2 * time.Second

func (a *app) submitCommand() *cobra.Command {
	options := &submitOptions{}
	command := &cobra.Command{
		Use: "submit", Short: "Submit a job", Args: cobra.NoArgs,
		Long: "Submit a job. A command that got no answer may be repeated with the same --id: there will be one job.",
		Example: "  dykectl submit --team red --tasks 8 --cpus 2 --estimate 30s --due 5m\n" +
			"  dykectl submit --file job.json        # as the protocol has it",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.submit(cmd.Context(), cmd.OutOrStdout(), options)
		},
	}
	options.addFlags(command)
	return command
}

func (o *submitOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVarP(&o.file, "file", "f", "", "submit what this `FILE` holds, as JSON; the other flags are not used")
	flags.StringVar(&o.job.ID, "id", "", "the job's `ID`, like job-000412 (default: a new one)")
	flags.StringVar(&o.job.Team, "team", "", "the `TEAM` whose guarantee and limit apply")
	flags.StringVar(&o.job.Class, "class", "manual", "class of jobs that it belongs to")
	flags.StringVar(&o.priority, "priority", "normal", "low, normal, high or production")
	flags.IntVar(&o.job.Tasks, "tasks", 1, "number of tasks")
	flags.Float64Var(&o.job.Cpus, "cpus", 1, "processors of each task")
	flags.Float64Var(&o.job.Gpus, "gpus", 0, "accelerators of each task")
	flags.Float64Var(&o.job.MemGB, "mem", 1, "memory of each task in GB")
	flags.StringVar(&o.job.Image, "image", "default", "image that a machine must have")
	flags.Float64Var(&o.job.ImageGB, "image-gb", 0.2, "its size in GB")
	flags.StringSliceVar(&o.job.Types, "type", nil, "allowed machine `TYPE` (may be repeated; default: any)")
	flags.StringVar(&o.job.Zone, "zone", "", "the only allowed `ZONE`")
	flags.BoolVar(&o.job.OneZone, "same-zone", false, "all tasks in one zone")
	flags.BoolVar(&o.job.Spread, "half-a-zone", false, "at most half of the tasks in one zone")
	flags.BoolVar(&o.onDemandOnly, "ordinary", false, "no spot machines")
	flags.BoolVar(&o.service, "service", false, "runs until it is cancelled")
	flags.DurationVar(&o.estimate, "estimate", 10*time.Second, "how long a task will run")
	flags.DurationVar(&o.checkpoint, "checkpoint", 0, "progress after which a task saves (0: never)")
	flags.DurationVar(&o.checkpointCost, "save", 0, "how long saving takes when it is stopped")
	flags.DurationVar(&o.deadline, "due", 0, "deadline, from now (0: none)")
	flags.StringSliceVar(&o.job.Dependencies, "after", nil, "`ID` of a job that must be done before (may be repeated)")
	flags.DurationVar(&o.actualRunTime, "run", 0, "on an emulated cluster: how long a task really runs (default: as estimated)")
	flags.BoolVar(&o.alwaysFails, "fails", false, "on an emulated cluster: it fails on every machine")
	flags.BoolVar(&o.wait, "wait", false, "wait until the job is over")
}

// submit submits a job and waits for its end if that is asked for.
func (a *app) submit(ctx context.Context, out io.Writer, options *submitOptions) error {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	body, err := options.body()
	if err != nil {
		return usageError(err)
	}
	if cluster.Uploads != "" {
		if err := options.upload(cluster.Uploads, body); err != nil {
			return err
		}
	}
	users, id := a.usersClient(cluster.Users), options.job.ID
	state, err := users.Submit(ctx, body)
	if err != nil {
		return requestError(fmt.Errorf("%s: %w", id, err))
	}
	for options.wait && !state.Status.Final() {
		if !wait.For(ctx, submitPollInterval) {
			return failed(fmt.Errorf("%s goes on: it is %s", id, state.Status))
		}
		if next, err := users.Status(id); err == nil {
			state = next
		}
	}
	return a.printJobs(out, []protocol.JobState{state})
}

// body is the job as the protocol has it, of the file or of the flags. It leaves the job in o.job.
func (o *submitOptions) body() ([]byte, error) {
	if o.file == "" {
		return o.bodyFromFlags()
	}
	body, err := os.ReadFile(o.file)
	if err != nil {
		return nil, err
	}
	job, err := protocol.ParseSubmission(body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", o.file, err)
	}
	o.job = *job
	return body, nil
}

func (o *submitOptions) bodyFromFlags() ([]byte, error) {
	priority, ok := protocol.ParsePriority(o.priority)
	if !ok {
		return nil, errors.New("--priority is low, normal, high or production")
	}
	o.job.Priority, o.job.Spot = priority, !o.onDemandOnly
	if o.service {
		o.job.Shape, o.estimate = protocol.Service, 0
	}
	if o.job.ID == "" {
		o.job.ID = fmt.Sprintf("job-%012d", rand.Uint64N(1e12))
	}
	o.job.EstimateS, o.job.CheckpointS = o.estimate.Seconds(), o.checkpoint.Seconds()
	o.job.CheckpointCostS, o.job.DeadlineS = o.checkpointCost.Seconds(), o.deadline.Seconds()
	body, err := protocol.EncodeSubmission(&o.job)
	if err != nil {
		return nil, err
	}
	_, err = protocol.ParseSubmission(body)
	return body, err
}

// upload puts the job's description where the workers of a local cluster fetch it.
func (o *submitOptions) upload(address string, body []byte) error {
	run := o.actualRunTime
	if run == 0 {
		run = time.Duration(o.job.EstimateS * float64(time.Second))
	}
	description, err := client.Describe(body, run, o.alwaysFails)
	if err != nil {
		return usageError(err)
	}
	if err := client.New(address).Upload(o.job.ID, description); err != nil {
		return failed(err)
	}
	return nil
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{Use: "status JOB...", Short: "Tell how jobs stand", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.forEachJob(cmd, args, func(u *client.Users, id string) (protocol.JobState, error) { return u.Status(id) })
	}}
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{Use: "cancel JOB...", Short: "Cancel jobs", Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		return a.forEachJob(cmd, args, func(u *client.Users, id string) (protocol.JobState, error) { return u.Cancel(cmd.Context(), id) })
	}}
}

// forEachJob does something with each job and prints all that worked; the first error is returned.
func (a *app) forEachJob(cmd *cobra.Command, ids []string, do func(*client.Users, string) (protocol.JobState, error)) error {
	_, cluster, err := a.selectedContext()
	if err != nil {
		return err
	}
	for _, id := range ids {
		if !protocol.ValidJobID(id) {
			return usageError(fmt.Errorf("%q is no job's id: they are like job-000412", id))
		}
	}
	users := a.usersClient(cluster.Users)
	list := []protocol.JobState{}
	var first error
	for _, id := range ids {
		state, err := do(users, id)
		if err != nil {
			if first == nil {
				first = fmt.Errorf("%s: %w", id, err)
			}
			continue
		}
		list = append(list, state)
	}
	if len(list) > 0 {
		if err := a.printJobs(cmd.OutOrStdout(), list); err != nil {
			return failed(err)
		}
	}
	return requestError(first)
}
