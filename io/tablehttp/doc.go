// Package tablehttp is the client of the platform's transactional table service.
package tablehttp
