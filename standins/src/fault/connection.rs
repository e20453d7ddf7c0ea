//! The open connections of a simulated process, and whether they still respond.

use {
    ntex::{
        http::StatusCode,
        io::IoRef,
        web::{HttpRequest, HttpResponse},
    },
    std::{
        cell::{Cell, RefCell},
        future::{Future, poll_fn},
        rc::Rc,
        task::{Context, Poll, Waker},
    },
};

/// A connection on which a request has been received.
#[derive(Debug)]
pub(crate) struct Connection {
    io: IoRef,
    silent: Cell<bool>,
}

/// The open connections of a simulated process and their faults.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<Vec<Rc<Connection>>>,
    frozen: Cell<bool>,
    refuses_requests: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Connections {
    /// Sets whether all responses are held back, and whether each connection breaks at its next
    /// request.
    pub(crate) fn set_availability(&self, frozen: bool, refuses_requests: bool) {
        self.frozen.set(frozen);
        self.refuses_requests.set(refuses_requests);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Silences all open connections permanently, except the one of `control`.
    pub(crate) fn silence(&self, control: &HttpRequest) {
        for connection in self.others(control) {
            connection.silent.set(true);
        }
    }

    /// Breaks all open connections except the one of `control`.
    pub(crate) fn break_all(&self, control: &HttpRequest) {
        for connection in self.others(control) {
            connection.io.terminate();
        }
    }

    /// Returns the connection of a request and adds it to the open connections if it is new.
    pub(crate) fn register(&self, request: &HttpRequest) -> Option<Rc<Connection>> {
        let io = request.io()?;
        let mut open = self.open.borrow_mut();
        open.retain(|connection| !connection.io.is_closed());
        if let Some(known) = open.iter().find(|connection| connection.io == *io) {
            return Some(known.clone());
        }
        let connection = Rc::new(Connection {
            io: io.clone(),
            silent: Cell::new(false),
        });
        open.push(connection.clone());
        Some(connection)
    }

    /// Runs a handler when the connection is responsive and returns its response when the
    /// connection is responsive again. On a silenced connection the response is never sent.
    pub(crate) async fn respond<H>(&self, request: &HttpRequest, handler: H) -> HttpResponse
    where
        H: Future<Output = HttpResponse>,
    {
        let Some(connection) = self.register(request) else {
            return handler.await;
        };
        if self.refuses_requests.get() {
            return break_connection(request);
        }
        self.wait_until_responsive(&connection).await;
        let response = handler.await;
        self.wait_until_responsive(&connection).await;
        response
    }

    /// Waits until the simulated process isn't frozen.
    pub(crate) async fn wait_until_unfrozen(&self) {
        poll_fn(|context| self.poll_unfrozen(context)).await;
    }

    async fn wait_until_responsive(&self, connection: &Connection) {
        poll_fn(|context| self.poll_responsive(connection, context)).await;
    }

    /// Returns `Ready` if the connection is neither silenced nor frozen.
    pub(crate) fn poll_responsive(
        &self,
        connection: &Connection,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if connection.silent.get() {
            return Poll::Pending;
        }
        self.poll_unfrozen(context)
    }

    fn poll_unfrozen(&self, context: &mut Context<'_>) -> Poll<()> {
        if !self.frozen.get() {
            return Poll::Ready(());
        }
        self.wakers.borrow_mut().push(context.waker().clone());
        Poll::Pending
    }

    fn others(&self, control: &HttpRequest) -> Vec<Rc<Connection>> {
        self.open
            .borrow()
            .iter()
            .filter(|connection| Some(&connection.io) != control.io())
            .cloned()
            .collect()
    }
}

/// Breaks the connection of a request. The returned response is never sent.
pub(crate) fn break_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}
