//! Comparison of two documents.

use indigospur_document::changed_keys;

#[test]
fn keys_whose_values_differ_are_listed_in_order() {
    let before = "a = 1\n[t]\nkept = 2\ngone = 3\nlist = [1, 2]\n[t.u]\ndeep = true\n";
    let after = "a = 2\n[t]\nkept = 2\nnew = 4\nlist = [1, 3]\n[t.u]\ndeep = false\n";
    let expected = ["a", "t.gone", "t.list", "t.new", "t.u.deep"];
    assert_eq!(changed_keys(before, after), expected);
    assert_eq!(changed_keys(before, before), Vec::<String>::new());
}

#[test]
fn an_invalid_document_counts_as_empty() {
    assert_eq!(changed_keys("[", "a = 1"), ["a"]);
    assert_eq!(changed_keys("[", "="), Vec::<String>::new());
}
