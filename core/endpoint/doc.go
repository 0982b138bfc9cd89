// Package endpoint keeps an entry's view of agents and their endpoints. It
// chooses the endpoint for each request from the credits that agents granted.
package endpoint
