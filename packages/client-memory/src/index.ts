/**
 * The memory that the requests and responses of clients may take up, and which of them are shed when it runs short.
 */
export {}
