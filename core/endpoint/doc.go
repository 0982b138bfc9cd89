// Package endpoint keeps an entry's view of agents and their endpoints and
// chooses the endpoint for each request among the credits that agents granted.
package endpoint
