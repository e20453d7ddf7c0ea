//! Validation of requests in OpenAI's format: the error names the invalid field.

use {cactusspur::core::Tokens, cactusspur::openai::ChatRequest, test_case::test_case};

#[test_case(r#"{"messages":[{"role":"user","content":"x"}]}"#, "model")]
#[test_case(r#"{"model":"c"}"#, "messages")]
#[test_case(r#"{"model":7,"messages":[]}"#, "model")]
#[test_case(r#"{"model":"c","messages":[]}"#, "messages")]
#[test_case(
    r#"{"model":"c","messages":[{"role":"user","content":7}]}"#,
    "messages[0].content"
)]
#[test_case(
    r#"{"model":"c","messages":[{"role":"user","content":"x"}],"n":2}"#,
    "n"
)]
#[test_case(
    r#"{"model":"c","messages":[{"role":"user","content":"x"}],"max_tokens":0}"#,
    "max_tokens"
)]
#[test_case("{", "body")]
fn a_bad_request_names_its_field(body: &str, field: &str) {
    let problem = ChatRequest::parse(body.as_bytes()).expect_err("the request is invalid");
    assert_eq!(problem.field, field);
}

#[test]
fn text_parts_are_one_level() {
    let body = r#"{"model":"c","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}],"max_tokens":9}"#;
    let request = ChatRequest::parse(body.as_bytes()).expect("the request is valid");
    assert_eq!(request.levels().expect("all messages are text"), vec!["ab"]);
    assert_eq!(request.answer_limit(Tokens(4)), Tokens(4));
    assert_eq!(request.answer_limit(Tokens(40)), Tokens(9));
}
