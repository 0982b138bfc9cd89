// Package tablehttp is the HTTP client of the platform's transactional table service.
package tablehttp
