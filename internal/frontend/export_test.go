package frontend

// Held is how many places clients hold.
func (r *Limiter) Held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}
