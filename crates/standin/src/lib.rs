//! Small stand-ins for the systems outside: the platform, model runners and plain services.
