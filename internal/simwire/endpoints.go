package simwire

import (
	"fmt"

	"cranegate/routing"
)

// readEndpointList decodes an endpoint list and reads its entries.
func (r *Reader) readEndpointList(f *fields) error {
	number := f.integer()
	count := f.integer()
	if f.err != nil {
		return f.err
	}
	if count < 0 {
		return fmt.Errorf("a list of %d entries", count)
	}
	var endpoints []routing.Endpoint
	for range count {
		line, err := r.readLine()
		if err != nil {
			return fmt.Errorf("reading list %d: %w", number, err)
		}
		endpoint, err := parseEndpoint(line)
		if err != nil {
			return fmt.Errorf("%q in list %d: %w", line, number, err)
		}
		endpoints = append(endpoints, endpoint)
	}
	r.endpointLists[number] = endpoints
	return nil
}

// parseEndpoint decodes one entry of an endpoint list.
func parseEndpoint(line string) (routing.Endpoint, error) {
	f := splitFields(line)
	if f.word() != messageEndpoint {
		return routing.Endpoint{}, fmt.Errorf("expected %s", messageEndpoint)
	}
	phase, ok := phaseByWord[f.word()]
	if !ok {
		return routing.Endpoint{}, fmt.Errorf("unknown phase")
	}
	endpoint := routing.Endpoint{Phase: phase, Zone: f.word()}
	f.word() // the machine's type is not used
	endpoint.Capacity = f.number()
	endpoint.Primary = f.number() == 1
	endpoint.StartedAt = f.seconds()
	endpoint.Member = f.required()
	endpoint.Group = f.integer()
	return endpoint, f.err
}

// endpointListEvent decodes the event that refers by its number to an endpoint list, or a patch, that was read before.
func (r *Reader) endpointListEvent(f *fields) (routing.EndpointList, error) {
	word := f.word()
	kind, ok := listKindByWord[word]
	if !ok {
		return routing.EndpointList{}, fmt.Errorf("unknown kind of list %q", word)
	}
	list := routing.EndpointList{Kind: kind}
	f.word() // the revision is not used: changes arrive in order
	if kind == routing.EndpointListFailed {
		return list, nil
	}
	number := f.integer()
	list.Endpoints, ok = r.endpointLists[number]
	if !ok && f.err == nil {
		return list, fmt.Errorf("list %d was never sent", number)
	}
	return list, nil
}
