package dfumessage

// BodySize returns the size of the body.
func (o *Offer) BodySize() int {
	return len(o.Body)
}

// DetachBody returns a copy of the offer without its body, and the body.
func (o *Offer) DetachBody() (message any, body []byte) {
	withoutBody := *o
	withoutBody.Body = nil
	return &withoutBody, o.Body
}

// AttachBody sets the body, or marks it as dropped if body is nil.
func (o *Offer) AttachBody(body []byte) {
	o.Body = body
	o.dropped = body == nil
}

// Dropped reports whether there was no memory for the body of the offer.
func (o *Offer) Dropped() bool {
	return o.dropped
}

// Sent does nothing: an offer is no reply.
func (o *Offer) Sent() {}

// BodySize returns the size of the answer's body.
func (r *Reply) BodySize() int {
	return len(r.Answer.Body)
}

// DetachBody returns a copy of the reply without the body of its answer, and the body.
func (r *Reply) DetachBody() (message any, body []byte) {
	withoutBody := *r
	withoutBody.Answer.Body = nil
	return &withoutBody, r.Answer.Body
}

// AttachBody sets the body of the answer. If it is nil, the checksum of the reply fails.
func (r *Reply) AttachBody(body []byte) {
	r.Answer.Body = body
}

// OnSent sets a function that is called when the reply has been written to a peer.
func (r *Reply) OnSent(f func()) {
	r.onSent = f
}

// Sent calls the function that OnSent has set.
func (r *Reply) Sent() {
	if r.onSent != nil {
		r.onSent()
	}
}
