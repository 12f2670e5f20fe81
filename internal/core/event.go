package core

// event is a message to the actor. The actor alone calls handle.
type event interface{ handle(c *Core) }

type (
	requestSubmitted   struct{ request *Request }
	clientDisconnected struct{ request *Request }
	endpointsUpdated   struct{ list EndpointList }
	attemptEnded       struct {
		attempt *Attempt
		outcome Outcome
	}
	streamOffered struct {
		attempt  *Attempt
		value    any
		accepted chan<- bool // buffered, so that the actor does not block
	}
	actorCall func() // runs on the actor's goroutine
)

func (e requestSubmitted) handle(c *Core)   { c.handleRequest(e.request) }
func (e clientDisconnected) handle(c *Core) { c.handleDisconnect(e.request) }
func (e endpointsUpdated) handle(c *Core)   { c.handleEndpoints(e.list) }
func (e attemptEnded) handle(*Core)         { e.attempt.handleOutcome(e.outcome) }
func (e streamOffered) handle(*Core)        { e.accepted <- e.attempt.handleStream(e.value) }
func (f actorCall) handle(*Core)            { f() }

// post puts an event into the mailbox. It waits while the mailbox is full and returns false if the actor has ended.
func (c *Core) post(e event) bool {
	select {
	case c.mailbox <- e:
		return true
	case <-c.done:
		return false
	}
}
