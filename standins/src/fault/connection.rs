//! The open connections of a stand-in, and which of them still answer.

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

/// A connection that has sent a request.
#[derive(Debug)]
pub(crate) struct Connection {
    io: IoRef,
    silent: Cell<bool>,
}

/// The connections of a stand-in.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<Vec<Rc<Connection>>>,
    frozen: Cell<bool>,
    refusing: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

impl Connections {
    /// Sets whether nothing answers, and whether each connection breaks at its next request.
    pub(crate) fn set(&self, frozen: bool, refusing: bool) {
        self.frozen.set(frozen);
        self.refusing.set(refusing);
        for waker in self.waiting.take() {
            waker.wake();
        }
    }

    /// Makes all open connections but the one of `control` silent for good.
    pub(crate) fn silence(&self, control: &HttpRequest) {
        for connection in self.others(control) {
            connection.silent.set(true);
        }
    }

    /// Breaks all open connections but the one of `control`.
    pub(crate) fn break_all(&self, control: &HttpRequest) {
        for connection in self.others(control) {
            connection.io.terminate();
        }
    }

    /// The connection of a request.
    pub(crate) fn of(&self, request: &HttpRequest) -> Option<Rc<Connection>> {
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

    /// Runs a handler while its connection answers: before that nothing is run, and an answer
    /// that falls into silence is never sent.
    pub(crate) async fn answer<H>(&self, request: &HttpRequest, handler: H) -> HttpResponse
    where
        H: Future<Output = HttpResponse>,
    {
        let Some(connection) = self.of(request) else {
            return handler.await;
        };
        if self.refusing.get() {
            return hang_up(request);
        }
        self.answering(&connection).await;
        let response = handler.await;
        self.answering(&connection).await;
        response
    }

    /// Waits until the process isn't frozen.
    pub(crate) async fn thawed(&self) {
        poll_fn(|context| self.poll_thawed(context)).await;
    }

    async fn answering(&self, connection: &Connection) {
        poll_fn(|context| self.poll_answering(connection, context)).await;
    }

    /// Ready when the connection answers.
    pub(crate) fn poll_answering(
        &self,
        connection: &Connection,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        if connection.silent.get() {
            return Poll::Pending;
        }
        self.poll_thawed(context)
    }

    fn poll_thawed(&self, context: &mut Context<'_>) -> Poll<()> {
        if !self.frozen.get() {
            return Poll::Ready(());
        }
        self.waiting.borrow_mut().push(context.waker().clone());
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

/// Breaks the connection of a request. The response that it gives back is never sent.
pub(crate) fn hang_up(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}
