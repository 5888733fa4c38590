package simulator

import (
	"encoding/json"
	"net/http"
	"time"

	"dykeledge/internal/protocol"
)

// The workers' timing.
const (
	heartbeatAnswerTimeout = 4 * time.Second        // without an answer after as long, a heartbeat counts as lost
	heartbeatRetryInterval = time.Second            // after a heartbeat without a usable answer
	redirectedInterval     = 100 * time.Millisecond // before a heartbeat to the controller that another one named
	earlyHeartbeatInterval = 500 * time.Millisecond // the least between two heartbeats where something has changed
	hangingPollInterval    = 200 * time.Millisecond
	resumePollInterval     = 300 * time.Millisecond
)

// heartbeatExchange is a heartbeat on its way to a controller.
type heartbeatExchange struct {
	heartbeat  *protocol.Heartbeat
	sent       time.Time
	index      int // of the controller
	controller *ControllerProcess
	lost       bool          // neither it nor its answer arrives
	answerLost bool          // it arrives, and the answer doesn't
	delay      time.Duration // it arrives so much later, and its sender learns nothing
	copyAfter  time.Duration // a copy of it arrives so much later
}

// heartbeatAnswer is a controller's answer to a heartbeat; status 0: none came.
type heartbeatAnswer struct {
	status   int
	response protocol.HeartbeatResponse // with http.StatusOK
	redirect protocol.Redirect          // with any other status
}

// isFromController tells whether a controller has answered, be it that another one is to be asked.
func (a heartbeatAnswer) isFromController() bool {
	return a.status == http.StatusOK || a.status == http.StatusMisdirectedRequest
}

// heartbeatLoop sends a machine's heartbeats and carries out the answers, until the machine is gone.
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

// newExchange is a machine's next heartbeat, and what the network will do to it.
func (sim *Simulation) newExchange(machine *Machine) *heartbeatExchange {
	index := machine.controllerIndex % len(sim.controllers)
	exchange := &heartbeatExchange{
		heartbeat:  machine.nextHeartbeat(),
		sent:       time.Now(),
		index:      index,
		controller: sim.controllers[index],
		answerLost: machine.deafToController,
	}
	exchange.lost = machine.partitioned || machine.silentToControllers || sim.separates(exchange.controller, machine)
	exchange.delay, exchange.copyAfter = sim.heartbeatDelays(exchange.heartbeat)
	return exchange
}

// deliverAfter delivers a heartbeat after a time, if there is one, to the controller that then has the number of the one
// it was sent to. Nobody waits for the answer. The simulation is not locked.
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
			sim.Copies.Add(1)
		}
		process.handleHeartbeat(sim.ctx, exchange.heartbeat, func(int, any) {})
	}()
}

// exchangeHeartbeat sends a heartbeat and waits for the answer. The simulation is not locked.
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

// askController sends a heartbeat to a controller that it reaches, and waits for the answer.
func (sim *Simulation) askController(process *ControllerProcess, heartbeat *protocol.Heartbeat) heartbeatAnswer {
	answers := make(chan heartbeatAnswer, 1)
	process.handleHeartbeat(sim.ctx, heartbeat, func(status int, body any) {
		if !process.isPartitionedFrom(NoWorkers) { // otherwise it was partitioned while it held the answer back, which is lost
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

// decodeHeartbeatAnswer takes an answer over JSON, as if it had come over the network. What can't be read leaves the
// fields empty, which a worker refuses.
func decodeHeartbeatAnswer(status int, body any) heartbeatAnswer {
	answer := heartbeatAnswer{status: status}
	raw, _ := json.Marshal(body) // nothing is decoded from what can't be encoded
	if status == http.StatusOK {
		_ = json.Unmarshal(raw, &answer.response)
	} else {
		_ = json.Unmarshal(raw, &answer.redirect)
	}
	return answer
}

// applyHeartbeatAnswer carries out the answer to a heartbeat, and tells how long to wait before the next one.
func (sim *Simulation) applyHeartbeatAnswer(machine *Machine, exchange *heartbeatExchange, answer heartbeatAnswer) time.Duration {
	switch {
	case machine.gone || machine.hanging:
	case answer.status == http.StatusOK:
		response := answer.response
		if exchange.heartbeat.Incarnation == machine.incarnation && response.FencingToken >= machine.fencingToken {
			machine.leaseRenewedAt = exchange.sent
			machine.fencingToken = response.FencingToken
			sim.execute(machine, response.Commands)
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

// awaitNextHeartbeat waits before the next heartbeat, for less time where something changes on the machine meanwhile.
// The simulation is not locked.
func (sim *Simulation) awaitNextHeartbeat(machine *Machine, exchange *heartbeatExchange, answer heartbeatAnswer, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-machine.wakeUp:
		time.Sleep(max(0, earlyHeartbeatInterval-time.Since(exchange.sent)))
		if !answer.isFromController() {
			time.Sleep(heartbeatRetryInterval)
		}
	case <-sim.ctx.Done():
	}
}
