package simulator

import (
	"net/http"
	"time"

	"dykeledge/internal/protocol"
	"dykeledge/internal/wait"
)

// This file delivers duplicates of direct commands that a worker has executed and answered. Their senders do not wait
// for another answer.

// executedCommands are direct commands that a machine's worker has executed.
type executedCommands struct {
	machine  *Machine
	commands protocol.DirectCommands
}

// duplicateCommands arranges the duplicates of direct commands that a machine's worker has just executed.
func (sim *Simulation) duplicateCommands(machine *Machine, commands protocol.DirectCommands) {
	executed := executedCommands{machine, commands}
	if sim.CommandDuplicateDelay != nil {
		if after := sim.CommandDuplicateDelay(machine.Name, commands); after > 0 {
			go func() {
				if wait.For(sim.ctx, after) {
					sim.deliverDuplicate(executed)
				}
			}()
		}
	}
	if sim.HoldCommands != nil && sim.HoldCommands(machine.Name) {
		sim.heldCommands = append(sim.heldCommands, executed)
	}
}

// deliverHeldCommands delivers the held duplicates of direct commands.
func (sim *Simulation) deliverHeldCommands() {
	held := sim.heldCommands
	sim.heldCommands = nil
	go func() {
		for _, executed := range held {
			sim.HeldDuplicateCommands.Add(1)
			sim.deliverDuplicate(executed)
		}
	}()
}

// deliverDuplicate delivers a duplicate of direct commands to a machine that is reachable, or once it no longer hangs.
// The caller must not hold the simulation's mutex.
func (sim *Simulation) deliverDuplicate(executed executedCommands) {
	for sim.ctx.Err() == nil && sim.isHanging(executed.machine) {
		time.Sleep(resumePollInterval)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	machine := executed.machine
	if machine.gone || machine.hanging || machine.partitioned || machine.inboundPartitioned {
		return
	}
	sim.DuplicateCommands.Add(1)
	sim.events.addCommands(event{kind: duplicateArrived, machine: machine.Name, token: executed.commands.FencingToken}, executed.commands.Commands)
	if _, status := sim.executeCommand(machine, executed.commands); status == http.StatusOK {
		sim.DuplicateCommandsExecuted.Add(1)
	}
}

// isHanging reports whether a machine hangs now. The caller must not hold the simulation's mutex.
func (sim *Simulation) isHanging(machine *Machine) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return machine.hanging && !machine.gone
}
