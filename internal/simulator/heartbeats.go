package simulator

import (
	"encoding/json"
	"net/http"
	"time"

	"dykeledge/internal/protocol"
)

// Timing of the workers' heartbeats.
const (
	heartbeatAnswerTimeout = 4 * time.Second        // a heartbeat without an answer counts as lost after this time
	heartbeatRetryInterval = time.Second            // delay after a heartbeat without a usable answer
	redirectedInterval     = 100 * time.Millisecond // delay before a heartbeat to the controller that a redirect named
	earlyHeartbeatInterval = 500 * time.Millisecond // least time between two heartbeats if a task's state has changed
	hangingPollInterval    = 200 * time.Millisecond
	resumePollInterval     = 300 * time.Millisecond
)

// heartbeatExchange is a heartbeat in flight to a controller, and the faults that it meets.
type heartbeatExchange struct {
	heartbeat  *protocol.Heartbeat
	sent       time.Time
	index      int // the controller's index
	controller *ControllerProcess
	lost       bool          // neither the heartbeat nor its answer arrives
	answerLost bool          // the heartbeat arrives, but its answer does not
	delay      time.Duration // if above 0, the heartbeat arrives this much later and the sender gets no answer
	copyAfter  time.Duration // if above 0, a duplicate of the heartbeat arrives this much later
}

// heartbeatAnswer is a controller's answer to a heartbeat. Status 0: no answer arrived.
type heartbeatAnswer struct {
	status   int
	response protocol.HeartbeatResponse // if status is http.StatusOK
	redirect protocol.Redirect          // if status is any other
}

// isFromController reports whether a controller answered, be it with a redirect to another one.
func (a heartbeatAnswer) isFromController() bool {
	return a.status == http.StatusOK || a.status == http.StatusMisdirectedRequest
}

// heartbeatLoop sends a machine's heartbeats and executes the commands in their answers, until the machine is gone.
func (sim *Simulation) heartbeatLoop(machine *Machine) {
	for sim.ctx.Err() == nil {
		sim.mu.Lock()
		if machine.gone {
			sim.mu.Unlock()
			return
		}
		if machine.hanging {
			sim.mu.Unlock()
			time.Sleep(hangingPollInterval)
			continue
		}
		exchange := sim.newExchange(machine)
		sim.mu.Unlock()

		sim.deliverAfter(exchange, exchange.copyAfter, true)
		sim.deliverAfter(exchange, exchange.delay, false)
		answer := sim.exchangeHeartbeat(exchange)

		sim.mu.Lock()
		wait := sim.applyHeartbeatAnswer(machine, exchange, answer)
		sim.mu.Unlock()
		sim.awaitNextHeartbeat(machine, exchange, answer, wait)
	}
}

// newExchange returns a machine's next heartbeat with the faults that it will meet.
func (sim *Simulation) newExchange(machine *Machine) *heartbeatExchange {
	index := machine.controllerIndex % len(sim.controllers)
	exchange := &heartbeatExchange{
		heartbeat:  machine.nextHeartbeat(),
		sent:       time.Now(),
		index:      index,
		controller: sim.controllers[index],
		answerLost: machine.inboundPartitioned,
	}
	exchange.lost = machine.partitioned || machine.outboundPartitioned || sim.separates(exchange.controller, machine)
	exchange.delay, exchange.copyAfter = sim.heartbeatDelays(exchange.heartbeat)
	return exchange
}

// deliverAfter delivers a heartbeat after a delay, if there is one, to the process that then has the index of the
// original receiver. The answer is dropped. The caller must not hold the simulation's mutex.
func (sim *Simulation) deliverAfter(exchange *heartbeatExchange, after time.Duration, isCopy bool) {
	if after <= 0 {
		return
	}
	go func() {
		time.Sleep(after)
		process := sim.Controller(exchange.index)
		if process.ended() {
			return
		}
		if isCopy {
			sim.DuplicateHeartbeats.Add(1)
		}
		process.handleHeartbeat(sim.ctx, exchange.heartbeat, func(int, any) {})
	}()
}

// exchangeHeartbeat sends a heartbeat and waits for the answer. The caller must not hold the simulation's mutex.
func (sim *Simulation) exchangeHeartbeat(exchange *heartbeatExchange) heartbeatAnswer {
	process := exchange.controller
	switch {
	case exchange.lost || exchange.delay > 0 || process.isPartitionedFrom(NoWorkers):
		time.Sleep(heartbeatAnswerTimeout)
	case process.ended():
	case exchange.answerLost:
		process.handleHeartbeat(sim.ctx, exchange.heartbeat, func(int, any) {})
		time.Sleep(heartbeatAnswerTimeout)
	default:
		return sim.askController(process, exchange.heartbeat)
	}
	return heartbeatAnswer{}
}

// askController sends a heartbeat that reaches its controller, and waits for the answer.
func (sim *Simulation) askController(process *ControllerProcess, heartbeat *protocol.Heartbeat) heartbeatAnswer {
	answers := make(chan heartbeatAnswer, 1)
	process.handleHeartbeat(sim.ctx, heartbeat, func(status int, body any) {
		sim.recordAnswer(process, heartbeat, body)
		if !process.isPartitionedFrom(NoWorkers) { // otherwise the partition began while the controller delayed the answer, and the answer is lost
			answers <- decodeHeartbeatAnswer(status, body)
		}
	})
	timeout := time.NewTimer(heartbeatAnswerTimeout)
	defer timeout.Stop()
	select {
	case answer := <-answers:
		time.Sleep(time.Millisecond)
		return answer
	case <-timeout.C:
		return heartbeatAnswer{}
	}
}

// recordAnswer records the commands in a controller's answer to a heartbeat.
func (sim *Simulation) recordAnswer(process *ControllerProcess, heartbeat *protocol.Heartbeat, body any) {
	response, ok := body.(protocol.HeartbeatResponse)
	if !ok || len(response.Commands) == 0 {
		return
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.events.addCommands(event{kind: answerSent, machine: heartbeat.Machine, controller: process.Name, token: response.FencingToken,
		incarnation: heartbeat.Incarnation, sequence: heartbeat.Seq}, response.Commands)
}

// decodeHeartbeatAnswer encodes an answer as JSON and decodes it, as if it had passed the network. Fields that
// cannot be decoded stay empty, which a worker refuses.
func decodeHeartbeatAnswer(status int, body any) heartbeatAnswer {
	answer := heartbeatAnswer{status: status}
	raw, _ := json.Marshal(body) // if the encoding fails, the decoding does too and leaves the fields empty
	if status == http.StatusOK {
		_ = json.Unmarshal(raw, &answer.response)
	} else {
		_ = json.Unmarshal(raw, &answer.redirect)
	}
	return answer
}

// applyHeartbeatAnswer executes the commands in an answer to a heartbeat, and returns the delay before the next
// heartbeat.
func (sim *Simulation) applyHeartbeatAnswer(machine *Machine, exchange *heartbeatExchange, answer heartbeatAnswer) time.Duration {
	switch {
	case machine.gone || machine.hanging:
	case answer.status == http.StatusOK:
		response := answer.response
		if exchange.heartbeat.Incarnation == machine.incarnation && response.FencingToken >= machine.fencingToken {
			machine.leaseRenewedAt = exchange.sent
			machine.fencingToken = response.FencingToken
			sim.execute(machine, response.Commands)
		} else {
			sim.events.addCommands(event{kind: answerRefused, machine: machine.Name, controller: exchange.controller.Name, token: response.FencingToken,
				seenToken: machine.fencingToken, incarnation: machine.incarnation, sequence: exchange.heartbeat.Seq}, response.Commands)
		}
		interval := seconds(sim.Settings.Deployment.Workers.HeartbeatS)
		return interval*3/4 + time.Duration(sim.Random.IntN(int(interval)/2))
	case answer.status == http.StatusMisdirectedRequest:
		named := sim.indexOf(answer.redirect.Member)
		if named >= 0 && named != machine.controllerIndex%len(sim.controllers) {
			machine.controllerIndex = named
			return redirectedInterval
		}
		machine.controllerIndex++
	default:
		machine.controllerIndex++
	}
	return heartbeatRetryInterval
}

// awaitNextHeartbeat waits for the delay before the next heartbeat, or for less if a task's state changes on the
// machine and a controller answered the last heartbeat. The caller must not hold the simulation's mutex.
func (sim *Simulation) awaitNextHeartbeat(machine *Machine, exchange *heartbeatExchange, answer heartbeatAnswer, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-machine.wakeUp:
		if answer.isFromController() {
			time.Sleep(max(0, earlyHeartbeatInterval-time.Since(exchange.sent)))
		} else {
			<-timer.C // the next controller is tried when the whole delay is over
		}
	case <-sim.ctx.Done():
	}
}
